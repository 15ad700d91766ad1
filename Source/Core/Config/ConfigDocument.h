// One accepted revision of the operators' configuration, as the store and the peers hold it.
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
    /// Made by the operator's tool; tells whether a write whose answer was lost took effect.
    Common::ChangeId change;
    std::string author;
    int64_t acceptedAtMilliseconds = 0;
    /// As the operator wrote it, comments included.
    std::string text;

    bool operator==(const ConfigDocument&) const = default;
};

nlohmann::json toJson(const ConfigDocument&);
Common::Result<ConfigDocument> documentFromJson(const nlohmann::json&);
Common::Result<ConfigDocument> documentFromText(std::string_view);

} // namespace Config
