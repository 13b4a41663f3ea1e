#include "apricotrock/base.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace apricotrock {

std::uint64_t hash64(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::string digest128(std::string_view data)
{
    const XXH128_hash_t hash = XXH3_128bits(data.data(), data.size());
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return text.data();
}

std::uint64_t rendezvousScore(std::string_view key, std::string_view member)
{
    return hash64(member, hash64(key));
}

} // namespace apricotrock
