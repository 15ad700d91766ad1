// Writes and parses the note on a document's revision.
#include "Cli/RevisionNote.h"

#include <charconv>
#include <string_view>

namespace Cli {

namespace {

    constexpr std::string_view notePrefix = "// lavendercart revision ";

} // namespace

std::string withRevisionNote(Common::ConfigRevision revision, const std::string& text)
{
    return std::string(notePrefix) + std::to_string(revision.value) + "\n" + text;
}

NotedDocument takeRevisionNote(const std::string& text)
{
    NotedDocument withoutNote { std::nullopt, text };
    if (text.compare(0, notePrefix.size(), notePrefix) != 0)
        return withoutNote;
    const size_t lineEnd = text.find('\n');
    if (lineEnd == std::string::npos)
        return withoutNote;
    uint64_t revision = 0;
    const char* const begin = text.data() + notePrefix.size();
    const char* const end = text.data() + lineEnd;
    const auto parsed = std::from_chars(begin, end, revision);
    if (parsed.ec != std::errc() || parsed.ptr == begin)
        return withoutNote;
    return NotedDocument { Common::ConfigRevision { revision }, text.substr(lineEnd + 1) };
}

} // namespace Cli
