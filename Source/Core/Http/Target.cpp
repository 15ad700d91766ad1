// Parses request targets and applies percent encoding.
#include "Http/Target.h"

#include <charconv>

namespace Http {

namespace {

    constexpr std::string_view hexDigits = "0123456789ABCDEF";

    bool isUnreserved(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
            || std::string_view("-._~").find(c) != std::string_view::npos;
    }

    std::string percentDecode(std::string_view text, bool plusIsSpace)
    {
        std::string decoded;
        decoded.reserve(text.size());
        for (size_t i = 0; i < text.size(); ++i) {
            unsigned byte = 0;
            const char* const digits = text.data() + i + 1;
            const bool encoded = text[i] == '%' && i + 2 < text.size()
                && std::from_chars(digits, digits + 2, byte, 16).ptr == digits + 2;
            if (encoded) {
                decoded += static_cast<char>(byte);
                i += 2;
                continue;
            }
            decoded += plusIsSpace && text[i] == '+' ? ' ' : text[i];
        }
        return decoded;
    }

    void addParameter(Target& target, std::string_view pair)
    {
        if (pair.empty())
            return;
        const size_t equals = pair.find('=');
        const std::string name = percentDecode(pair.substr(0, equals), true);
        target.query[name]
            = equals == std::string_view::npos ? std::string() : percentDecode(pair.substr(equals + 1), true);
    }

} // namespace

std::optional<std::string> Target::parameter(const std::string& name) const
{
    const auto found = query.find(name);
    if (found == query.end())
        return std::nullopt;
    return found->second;
}

std::optional<int64_t> Target::number(const std::string& name) const
{
    const auto text = parameter(name);
    if (!text)
        return std::nullopt;
    int64_t value = 0;
    const char* const end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return value;
}

std::optional<std::string> Target::after(std::string_view prefix) const
{
    if (!std::string_view(path).starts_with(prefix))
        return std::nullopt;
    return path.substr(prefix.size());
}

Target parseTarget(std::string_view text)
{
    Target target;
    const size_t question = text.find('?');
    target.path = percentDecode(text.substr(0, question), false);
    if (question == std::string_view::npos)
        return target;
    std::string_view rest = text.substr(question + 1);
    while (!rest.empty()) {
        const size_t ampersand = rest.find('&');
        addParameter(target, rest.substr(0, ampersand));
        rest = ampersand == std::string_view::npos ? std::string_view() : rest.substr(ampersand + 1);
    }
    return target;
}

std::string percentEncode(std::string_view text)
{
    std::string encoded;
    encoded.reserve(text.size());
    for (const char c : text) {
        if (isUnreserved(c) || c == '/') {
            encoded += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += hexDigits[byte >> 4];
        encoded += hexDigits[byte & 15];
    }
    return encoded;
}

} // namespace Http
