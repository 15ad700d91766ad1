// Where the operator's configuration comes from.
#pragma once

#include "Cells/ServingConfig.h"
#include "Common/Result.h"
#include "Common/Units.h"

#include <string>
#include <string_view>

namespace Cells {

/// A configuration as the operator wrote it.
struct ConfigText {
    /// Empty: there is none yet.
    std::string text;
    /// The store's revision; a watch from here on misses nothing.
    Common::StoreRevision upTo;
};

class ConfigSource {
public:
    virtual ~ConfigSource() = default;

    virtual void read(Common::Callback<ConfigText>) = 0;
    /// Yields an empty text when nothing has changed. HistoryLost: read again.
    virtual void watch(Common::StoreRevision since, Common::Duration wait, Common::Callback<ConfigText>) = 0;
    virtual Common::Result<ServingConfig> decode(std::string_view text) const = 0;
};

} // namespace Cells
