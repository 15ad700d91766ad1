// The first line of a document that `config show` prints: the revision that it is edited from.
#pragma once

#include "Common/Units.h"

#include <optional>
#include <string>

namespace Cli {

struct NotedDocument {
    /// Nothing when the text does not begin with a note.
    std::optional<Common::ConfigRevision> base;
    /// The text without the note.
    std::string text;
};

std::string withRevisionNote(Common::ConfigRevision, const std::string& text);
NotedDocument takeRevisionNote(const std::string& text);

} // namespace Cli
