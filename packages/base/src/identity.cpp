#include "apricotrock/base.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <cstdio>

namespace apricotrock {

namespace {

constexpr std::size_t incarnationDigits = 16;
constexpr std::size_t uuidLength = 36;
constexpr std::uint64_t uuidVersion = 7;
constexpr std::uint64_t uuidVariant = 2;

std::string formatHex(std::uint64_t value)
{
    std::array<char, incarnationDigits + 1> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

std::optional<std::uint64_t> parseHex(std::string_view text)
{
    std::uint64_t value = 0;
    for (const char c : text) {
        if (c >= '0' && c <= '9')
            value = (value << 4) | static_cast<std::uint64_t>(c - '0');
        else if (c >= 'a' && c <= 'f')
            value = (value << 4) | static_cast<std::uint64_t>(c - 'a' + 10);
        else
            return std::nullopt;
    }
    return value;
}

bool isUuidDash(std::size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

} // namespace

std::string IncarnationId::toString() const
{
    return formatHex(value);
}

std::optional<IncarnationId> IncarnationId::parse(std::string_view text)
{
    if (text.size() != incarnationDigits)
        return std::nullopt;
    const auto value = parseHex(text);
    if (!value)
        return std::nullopt;
    return IncarnationId{*value};
}

std::string Uuid7::toString() const
{
    const std::string digits = formatHex(high) + formatHex(low);
    return digits.substr(0, 8) + '-' + digits.substr(8, 4) + '-' + digits.substr(12, 4) + '-'
        + digits.substr(16, 4) + '-' + digits.substr(20);
}

WallTime Uuid7::time() const
{
    return WallTime(std::chrono::milliseconds(high >> 16));
}

std::optional<Uuid7> Uuid7::parse(std::string_view text)
{
    if (text.size() != uuidLength)
        return std::nullopt;
    std::string digits;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (!isUuidDash(i))
            digits += text[i];
        else if (text[i] != '-')
            return std::nullopt;
    }
    const auto high = parseHex(std::string_view(digits).substr(0, 16));
    const auto low = parseHex(std::string_view(digits).substr(16));
    if (!high || !low || ((*high >> 12) & 0xf) != uuidVersion || (*low >> 62) != uuidVariant)
        return std::nullopt;
    return Uuid7{*high, *low};
}

Uuid7 Uuid7::make(WallTime time, std::uint64_t randomHigh, std::uint64_t randomLow)
{
    const auto milliseconds = static_cast<std::uint64_t>(time.time_since_epoch().count());
    return Uuid7{(milliseconds << 16) | (uuidVersion << 12) | (randomHigh & 0xfff),
                 (uuidVariant << 62) | (randomLow & 0x3fffffffffffffffULL)};
}

std::string IdempotencyKey::toString() const
{
    return owner ? owner->toString() + '.' + uuid.toString() : uuid.toString();
}

std::optional<IdempotencyKey> IdempotencyKey::parse(std::string_view text)
{
    IdempotencyKey key;
    const auto dot = text.find('.');
    if (dot != std::string_view::npos) {
        key.owner = IncarnationId::parse(text.substr(0, dot));
        if (!key.owner)
            return std::nullopt;
        text.remove_prefix(dot + 1);
    }
    const auto uuid = Uuid7::parse(text);
    if (!uuid)
        return std::nullopt;
    key.uuid = *uuid;
    return key;
}

std::string Endpoint::toString() const
{
    if (ip.find(':') != std::string::npos)
        return '[' + ip + "]:" + std::to_string(port);
    return ip + ':' + std::to_string(port);
}

std::optional<Endpoint> Endpoint::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string ip(text.substr(0, colon));
    const bool isBracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (isBracketed)
        ip = ip.substr(1, ip.size() - 2);
    in6_addr parsed{};
    if (inet_pton(isBracketed ? AF_INET6 : AF_INET, ip.c_str(), &parsed) != 1)
        return std::nullopt;
    const std::string_view portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    const char *end = portText.data() + portText.size();
    const auto [stop, error] = std::from_chars(portText.data(), end, port);
    if (error != std::errc() || stop != end)
        return std::nullopt;
    return Endpoint{std::move(ip), port};
}

} // namespace apricotrock
