// A scan of the nesting depth that precedes the parsing of JSON.
#include "Common/JsonParser.h"

#include "Common/JsonFault.h"

#include <nlohmann/json.hpp>

namespace Common {

bool isJsonTooDeep(std::string_view text)
{
    size_t depth = 0;
    bool inString = false;
    for (size_t index = 0; index < text.size(); ++index) {
        const char c = text[index];
        if (inString) {
            if (c == '\\')
                ++index;
            else if (c == '"')
                inString = false;
            continue;
        }
        if (c == '"')
            inString = true;
        else if ((c == '[' || c == '{') && ++depth > maximumJsonDepth)
            return true;
        else if ((c == ']' || c == '}') && depth > 0)
            --depth;
    }
    return false;
}

nlohmann::json parseJsonOrThrow(std::string_view text)
{
    if (isJsonTooDeep(text))
        throw JsonFault("nested more than " + std::to_string(maximumJsonDepth) + " levels deep");
    nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
    if (value.is_discarded())
        throw JsonFault("not JSON (" + std::to_string(text.size()) + " bytes)");
    return value;
}

Result<nlohmann::json> parseJson(std::string_view text)
{
    try {
        return parseJsonOrThrow(text);
    } catch (const JsonFault& fault) {
        return Failure { ErrorCode::ProtocolError, fault.what(), std::nullopt };
    }
}

} // namespace Common
