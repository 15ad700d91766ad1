// Runs nlohmann's parser with comments enabled. Its callback tracks the path, to report duplicate keys.
#include "Config/JsonDocument.h"

#include <algorithm>
#include <set>

namespace Config {

namespace {

    constexpr size_t maximumShownBytes = 100;

    /// Follows the parser's events and reports keys that occur more than once in an object.
    class DuplicateKeyDetector {
    public:
        explicit DuplicateKeyDetector(std::vector<SettingFault>& faults)
            : m_faults(faults)
        {
        }

        void onEvent(nlohmann::json::parse_event_t event, const nlohmann::json& parsed)
        {
            using Event = nlohmann::json::parse_event_t;
            switch (event) {
            case Event::object_start:
                m_frames.push_back(Frame {});
                return;
            case Event::array_start:
                m_frames.push_back(Frame { .isArray = true });
                return;
            case Event::key:
                onKey(parsed.get_ref<const std::string&>());
                return;
            case Event::object_end:
            case Event::array_end:
                m_frames.pop_back();
                advanceIndex();
                return;
            case Event::value:
                advanceIndex();
                return;
            }
        }

    private:
        struct Frame {
            bool isArray = false;
            size_t index = 0;
            std::string key;
            std::set<std::string> seen;
        };

        void onKey(const std::string& key)
        {
            Frame& frame = m_frames.back();
            frame.key = key;
            if (frame.seen.insert(key).second)
                return;
            m_faults.push_back(SettingFault {
                .kind = SettingFault::Kind::DuplicateKey, .path = path(), .allowed = "each name once in an object" });
        }

        void advanceIndex()
        {
            if (!m_frames.empty() && m_frames.back().isArray)
                ++m_frames.back().index;
        }

        std::string path() const
        {
            std::string text;
            for (const Frame& frame : m_frames) {
                if (frame.isArray)
                    text += "[" + std::to_string(frame.index) + "]";
                else
                    text += (text.empty() ? "" : ".") + frame.key;
            }
            return text;
        }

        std::vector<SettingFault>& m_faults;
        std::vector<Frame> m_frames;
    };

    /// The message of nlohmann's error without its prefix and position.
    std::string messageOf(const nlohmann::json::parse_error& error)
    {
        const std::string text = error.what();
        const size_t position = text.find("column ");
        const size_t end = position == std::string::npos ? std::string::npos : text.find(": ", position);
        return end == std::string::npos ? text : text.substr(end + 2);
    }

    SettingFault syntaxFault(std::string_view text, const nlohmann::json::parse_error& error)
    {
        const size_t before = std::min(error.byte == 0 ? 0 : error.byte - 1, text.size());
        const std::string_view read = text.substr(0, before);
        const size_t lineStart = read.rfind('\n');
        SettingFault fault { .kind = SettingFault::Kind::Syntax, .allowed = messageOf(error) };
        fault.line = 1 + static_cast<size_t>(std::count(read.begin(), read.end(), '\n'));
        fault.column = 1 + before - (lineStart == std::string_view::npos ? 0 : lineStart + 1);
        return fault;
    }

} // namespace

std::optional<nlohmann::json> parseJsonDocument(std::string_view text, std::vector<SettingFault>& faults)
{
    // The parser checks the encoding of values and names, but not of comments.
    if (!isUtf8(text)) {
        faults.push_back(
            SettingFault { .kind = SettingFault::Kind::Syntax, .allowed = "text in UTF-8", .line = 1, .column = 1 });
        return std::nullopt;
    }
    DuplicateKeyDetector duplicates(faults);
    const auto callback = [&](int, nlohmann::json::parse_event_t event, nlohmann::json& parsed) {
        duplicates.onEvent(event, parsed);
        return true;
    };
    try {
        return nlohmann::json::parse(text, callback, true, true);
    } catch (const nlohmann::json::parse_error& error) {
        faults.push_back(syntaxFault(text, error));
        return std::nullopt;
    }
}

bool isUtf8(std::string_view text)
{
    try {
        return !nlohmann::json(text).dump().empty();
    } catch (const nlohmann::json::type_error&) {
        return false;
    }
}

std::string formatValue(const nlohmann::json& value)
{
    std::string text = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (text.size() <= maximumShownBytes)
        return text;
    return text.substr(0, maximumShownBytes) + "...";
}

} // namespace Config
