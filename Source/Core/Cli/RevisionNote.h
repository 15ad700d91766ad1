// The note in the first line of a document that `config show` prints: the revision that the document is edited from.
#pragma once

#include "Common/Units.h"

#include <optional>
#include <string>

namespace Cli {

struct NotedDocument {
    /// Nothing if the text does not begin with a note.
    std::optional<Common::ConfigRevision> base;
    /// The text without the note.
    std::string text;
};

std::string withRevisionNote(Common::ConfigRevision, const std::string& text);
/// Separates the note from the text.
NotedDocument takeRevisionNote(const std::string& text);

} // namespace Cli
