// One accepted revision of the operators' configuration, as it is stored and sent between peers.
#pragma once

#include "Common/Ids.h"
#include "Common/Result.h"
#include "Common/Units.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace Config {

struct ConfigDocument {
    Common::ConfigRevision revision;
    /// Chosen by the operator's tool; identifies the change, so that a write whose answer was lost can be recognized.
    Common::ChangeId change;
    std::string author;
    int64_t acceptedAtMilliseconds = 0;
    /// As the operator wrote it, comments included.
    std::string text;

    bool operator==(const ConfigDocument&) const = default;
};

nlohmann::json toJson(const ConfigDocument&);
/// Fails with ProtocolError if a member is missing or has the wrong type.
Common::Result<ConfigDocument> documentFromJson(const nlohmann::json&);
/// Also fails with ProtocolError if the text is not JSON.
Common::Result<ConfigDocument> documentFromText(std::string_view);

} // namespace Config
