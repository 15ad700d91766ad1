// Port to the operator's configuration in the store. ConfigFollower reads and watches it.
#pragma once

#include "Cells/ServingConfig.h"
#include "Common/Result.h"
#include "Common/Units.h"

#include <string>
#include <string_view>

namespace Cells {

/// The text of a configuration as the operator wrote it.
struct ConfigText {
    /// Empty when none exists; from a watch also when nothing has changed.
    std::string text;
    /// The store's revision; a watch that starts from it misses no change.
    Common::StoreRevision upTo;
};

class ConfigSource {
public:
    virtual ~ConfigSource() = default;

    virtual void read(Common::Callback<ConfigText>) = 0;
    /// Waits at most `wait` for a change after `since`; the text is empty when nothing has changed. On HistoryLost the
    /// caller has to read again.
    virtual void watch(Common::StoreRevision since, Common::Duration wait, Common::Callback<ConfigText>) = 0;
    virtual Common::Result<ServingConfig> decode(std::string_view text) const = 0;
};

} // namespace Cells
