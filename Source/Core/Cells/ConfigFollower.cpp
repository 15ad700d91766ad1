// Reads and watches the operator's configuration and serves it to other hosts.
#include "Cells/ConfigFollower.h"

#include "Common/Log.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Cells {

namespace {

    constexpr const char* configMethod = "config.text";
    /// A watch on a connection that has fallen silent ends by its timeout only. The wait, the store client's timeout, a
    /// pause and the next read together take less than the four seconds after which a host with such a connection
    /// counts as well again.
    constexpr Common::Duration watchWait = std::chrono::seconds(2);
    constexpr Common::Duration peerTimeout = std::chrono::milliseconds(800);
    /// Short enough that a change is in force within three seconds, even after a failed watch.
    constexpr Common::Duration firstRetryPause = std::chrono::milliseconds(200);
    constexpr Common::Duration longestRetryPause = std::chrono::milliseconds(800);

} // namespace

ConfigFollower::ConfigFollower(Scheduler::Runtime& runtime, ConfigSource& source, Scheduler::PeerPort& peers)
    : m_runtime(runtime)
    , m_source(source)
    , m_peers(peers)
{
}

void ConfigFollower::start()
{
    m_peers.serve(configMethod, [this](const nlohmann::json&, const Scheduler::PeerPort::Reply& reply) {
        reply(nlohmann::json { { "text", m_currentText } });
    });
    read();
}

void ConfigFollower::read()
{
    m_source.read(m_lifetime.guard([this](const Common::Result<ConfigText>& found) {
        if (found) {
            m_revision = found->upTo;
            applyIfNewer(found->text, "store");
            m_retryPause = {};
            watch();
            return;
        }
        m_retryPause = std::clamp(2 * m_retryPause, firstRetryPause, longestRetryPause);
        m_runtime.schedule(m_retryPause, m_lifetime.guard([this] { read(); }));
    }));
}

void ConfigFollower::watch()
{
    m_source.watch(m_revision, watchWait, m_lifetime.guard([this](const Common::Result<ConfigText>& found) {
        if (found) {
            m_retryPause = {};
            m_revision = std::max(m_revision, found->upTo);
            applyIfNewer(found->text, "store");
            watch();
            return;
        }
        // A change may have been missed while the watch was failing.
        m_retryPause = std::clamp(2 * m_retryPause, firstRetryPause, longestRetryPause);
        m_runtime.schedule(m_retryPause, m_lifetime.guard([this] { read(); }));
    }));
}

void ConfigFollower::applyIfNewer(const std::string& text, const char* source)
{
    if (text.empty())
        return;
    auto decoded = m_source.decode(text);
    if (!decoded) {
        if (m_faults.report(source, decoded.reason().detail))
            LC_ERROR(Config, "event=unreadable-config source=" << source << " reason=" << decoded.reason().detail);
        return;
    }
    m_faults.resolve(source);
    if (m_current && decoded->version <= m_current->version)
        return;
    for (const UnreadableRoute& route : decoded->unreadableRoutes)
        LC_ERROR(Config, "event=unreadable-route route=" << route.name << " reason=" << route.reason);
    keepUnreadableRoutes(*decoded);
    LC_INFO(Config,
        "event=config-in-force version=" << decoded->version << " routes=" << decoded->routes.size()
                                         << " source=" << source);
    m_current = std::make_shared<const ServingConfig>(*decoded);
    m_currentText = text;
    if (m_onChange)
        m_onChange(*m_current);
}

void ConfigFollower::keepUnreadableRoutes(ServingConfig& config) const
{
    if (!m_current)
        return;
    for (const JobRoute& route : m_current->routes) {
        const bool unreadable = std::any_of(config.unreadableRoutes.begin(), config.unreadableRoutes.end(),
            [&](const UnreadableRoute& other) { return other.name == route.policy.route; });
        if (unreadable)
            config.routes.push_back(route);
    }
}

void ConfigFollower::onVersionOf(const std::string& address, int64_t version)
{
    const int64_t own = m_current ? m_current->version : -1;
    if (version <= own || m_fetchInProgress)
        return;
    m_fetchInProgress = true;
    m_peers.call(address, configMethod, nlohmann::json::object(), peerTimeout,
        m_lifetime.guard([this](const Common::Result<nlohmann::json>& answer) {
            m_fetchInProgress = false;
            if (answer && answer->contains("text") && answer->at("text").is_string())
                applyIfNewer(answer->at("text").get<std::string>(), "host");
        }));
}

} // namespace Cells
