// Converts revisions of the configuration to and from JSON.
#include "Config/ConfigDocument.h"

#include <nlohmann/json.hpp>

namespace Config {

namespace {

    using nlohmann::json;

    Common::Failure malformed(const std::string& detail)
    {
        return Common::Failure { .code = Common::ErrorCode::ProtocolError, .detail = detail };
    }

} // namespace

json toJson(const ConfigDocument& document)
{
    return json {
        { "revision", document.revision.value },
        { "changeId", document.change.value() },
        { "author", document.author },
        { "acceptedAtMs", document.acceptedAtMilliseconds },
        { "document", document.text },
    };
}

Common::Result<ConfigDocument> documentFromJson(const json& value)
{
    try {
        ConfigDocument document;
        document.revision.value = value.at("revision").get<uint64_t>();
        document.change = Common::ChangeId(value.at("changeId").get<std::string>());
        document.author = value.at("author").get<std::string>();
        document.acceptedAtMilliseconds = value.at("acceptedAtMs").get<int64_t>();
        document.text = value.at("document").get<std::string>();
        return document;
    } catch (const json::exception& error) {
        return malformed(std::string("not a revision of the configuration: ") + error.what());
    }
}

Common::Result<ConfigDocument> documentFromText(std::string_view text)
{
    const json value = json::parse(text, nullptr, false);
    if (value.is_discarded())
        return malformed("the revision of the configuration is not JSON");
    return documentFromJson(value);
}

} // namespace Config
