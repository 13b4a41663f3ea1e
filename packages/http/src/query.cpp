#include "apricotrock/http.h"

namespace apricotrock {

namespace {

int hexDigit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

std::optional<std::string> percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '+') {
            decoded += ' ';
        } else if (text[i] != '%') {
            decoded += text[i];
        } else {
            const int high = i + 2 < text.size() ? hexDigit(text[i + 1]) : -1;
            const int low = i + 2 < text.size() ? hexDigit(text[i + 2]) : -1;
            if (high < 0 || low < 0)
                return std::nullopt;
            decoded += static_cast<char>(high * 16 + low);
            i += 2;
        }
    }
    return decoded;
}

} // namespace

std::optional<std::string> queryValue(std::string_view target, std::string_view name)
{
    const auto mark = target.find('?');
    if (mark == std::string_view::npos)
        return std::nullopt;
    std::string_view query = target.substr(mark + 1);
    while (!query.empty()) {
        const auto ampersand = query.find('&');
        const std::string_view item = query.substr(0, ampersand);
        query.remove_prefix(ampersand == std::string_view::npos ? query.size() : ampersand + 1);
        const auto equals = item.find('=');
        if (equals != std::string_view::npos && item.substr(0, equals) == name)
            return percentDecode(item.substr(equals + 1));
    }
    return std::nullopt;
}

} // namespace apricotrock
