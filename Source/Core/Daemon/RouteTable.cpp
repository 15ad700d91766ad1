// Routes of the HTTP API.
#include "Daemon/RouteTable.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace Daemon {

namespace {

    constexpr const char* anySegment = "*";

    std::string percentDecoded(std::string_view text)
    {
        std::string decoded;
        for (size_t i = 0; i < text.size(); ++i) {
            unsigned value = 0;
            const bool escape = text[i] == '%' && i + 2 < text.size();
            if (escape
                && std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ptr == text.data() + i + 3) {
                decoded.push_back(static_cast<char>(value));
                i += 2;
            } else {
                decoded.push_back(text[i] == '+' ? ' ' : text[i]);
            }
        }
        return decoded;
    }

    std::vector<std::string_view> split(std::string_view text, char separator)
    {
        std::vector<std::string_view> parts;
        while (true) {
            const size_t end = text.find(separator);
            parts.push_back(text.substr(0, end));
            if (end == std::string_view::npos)
                return parts;
            text.remove_prefix(end + 1);
        }
    }

    std::vector<std::string> segmentsOf(std::string_view path)
    {
        std::vector<std::string> segments;
        for (const std::string_view part : split(path, '/'))
            segments.push_back(percentDecoded(part));
        return segments;
    }

    std::map<std::string, std::string> queryOf(std::string_view query)
    {
        std::map<std::string, std::string> parameters;
        for (const std::string_view part : split(query, '&')) {
            const size_t equals = part.find('=');
            if (equals != std::string_view::npos)
                parameters[percentDecoded(part.substr(0, equals))] = percentDecoded(part.substr(equals + 1));
        }
        return parameters;
    }

} // namespace

void RouteTable::add(const std::string& method, const std::string& pattern, ApiHandler handler)
{
    m_routes.push_back(Route { method, segmentsOf(pattern), std::move(handler) });
}

bool RouteTable::matches(const Route& route, const std::vector<std::string>& segments)
{
    return std::equal(route.segments.begin(), route.segments.end(), segments.begin(), segments.end(),
        [](const std::string& wanted, const std::string& actual) {
            return wanted == anySegment ? !actual.empty() : wanted == actual;
        });
}

void RouteTable::serve(Http::Request request, const ApiReply& reply) const
{
    const std::string target = request.target;
    const size_t question = target.find('?');
    const std::vector<std::string> segments = segmentsOf(std::string_view(target).substr(0, question));
    const auto route = std::find_if(m_routes.begin(), m_routes.end(),
        [&](const Route& candidate) { return candidate.method == request.method && matches(candidate, segments); });
    if (route == m_routes.end()) {
        reply(failureResponse({ Common::ErrorCode::UnknownRoute, "no such call: " + request.method + " " + target }));
        return;
    }
    ApiCall call;
    call.request = std::move(request);
    if (question != std::string::npos)
        call.query = queryOf(std::string_view(target).substr(question + 1));
    for (size_t i = 0; i < segments.size(); ++i) {
        if (route->segments[i] == anySegment)
            call.arguments.push_back(segments[i]);
    }
    try {
        route->handler(call, reply);
    } catch (const nlohmann::json::exception& error) {
        reply(failureResponse({ Common::ErrorCode::MalformedRequest, error.what() }));
    }
}

} // namespace Daemon
