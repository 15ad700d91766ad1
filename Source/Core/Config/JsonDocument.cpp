// nlohmann's parser with comments; a callback follows the path and sees each key.
#include "Config/JsonDocument.h"

#include <algorithm>
#include <set>

namespace Config {

namespace {

    constexpr size_t longestShownValue = 100;

    /// Follows the parser's events and notes keys that come twice in one object.
    class DuplicateKeys {
    public:
        explicit DuplicateKeys(std::vector<SettingFault>& faults)
            : m_faults(faults)
        {
        }

        void see(nlohmann::json::parse_event_t event, const nlohmann::json& parsed)
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
                seeKey(parsed.get_ref<const std::string&>());
                return;
            case Event::object_end:
            case Event::array_end:
                m_frames.pop_back();
                countElement();
                return;
            case Event::value:
                countElement();
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

        void seeKey(const std::string& key)
        {
            Frame& frame = m_frames.back();
            frame.key = key;
            if (frame.seen.insert(key).second)
                return;
            m_faults.push_back(SettingFault {
                .kind = SettingFault::Kind::DuplicateKey, .path = path(), .allowed = "each name once in an object" });
        }

        void countElement()
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

    /// nlohmann's sentence without its own prefix and place.
    std::string reasonOf(const nlohmann::json::parse_error& error)
    {
        const std::string text = error.what();
        const size_t place = text.find("column ");
        const size_t end = place == std::string::npos ? std::string::npos : text.find(": ", place);
        return end == std::string::npos ? text : text.substr(end + 2);
    }

    SettingFault syntaxFault(std::string_view text, const nlohmann::json::parse_error& error)
    {
        const size_t before = std::min(error.byte == 0 ? 0 : error.byte - 1, text.size());
        const std::string_view read = text.substr(0, before);
        const size_t lineStart = read.rfind('\n');
        SettingFault fault { .kind = SettingFault::Kind::Syntax, .allowed = reasonOf(error) };
        fault.line = 1 + static_cast<size_t>(std::count(read.begin(), read.end(), '\n'));
        fault.column = 1 + before - (lineStart == std::string_view::npos ? 0 : lineStart + 1);
        return fault;
    }

} // namespace

std::optional<nlohmann::json> parseJsonDocument(std::string_view text, std::vector<SettingFault>& faults)
{
    // The parser looks at bytes in values and names, but not in comments.
    if (!isUtf8(text)) {
        faults.push_back(
            SettingFault { .kind = SettingFault::Kind::Syntax, .allowed = "text in UTF-8", .line = 1, .column = 1 });
        return std::nullopt;
    }
    DuplicateKeys duplicates(faults);
    const auto callback = [&](int, nlohmann::json::parse_event_t event, nlohmann::json& parsed) {
        duplicates.see(event, parsed);
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

std::string shownValue(const nlohmann::json& value)
{
    std::string text = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (text.size() <= longestShownValue)
        return text;
    return text.substr(0, longestShownValue) + "...";
}

} // namespace Config
