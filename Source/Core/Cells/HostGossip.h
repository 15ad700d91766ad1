// Exchange of host states between hosts by datagrams: each host sends heartbeats to a few others, and news spreads from
// host to host. CellOwnership starts it and reads the HostDirectory that it updates.
#pragma once

#include "Cells/GossipCounters.h"
#include "Cells/GossipFrame.h"
#include "Cells/HeartbeatPort.h"
#include "Cells/HostDirectory.h"
#include "Cells/HostSettings.h"
#include "Cells/HostState.h"
#include "Common/Lifetime.h"
#include "Common/Units.h"
#include "Scheduler/Runtime.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Cells {

struct HostHeartbeat;

/// What a host sends and receives in a second doesn't depend on the number of hosts: it sends heartbeats to its
/// watchers (see Policy/WatchRing.h) and a random host, each with its own state and a bounded number of bytes of news.
/// A watcher that hears nothing asks the host, and reports its silence after the host timeout; a host that learns of
/// such a report about itself refutes it with a new version of its state.
class HostGossip {
public:
    /// A message that was received from the host itself.
    struct Contact {
        const HostState& state;
        /// The state is the one that the host had when it sent the message.
        bool isCurrent = false;
        /// Version of the configuration in force there; -1 when it knows none.
        int64_t configVersion = -1;
    };
    struct Hooks {
        /// A host that wasn't known before, or a new state of a known one.
        std::function<void(const HostState&, bool isNewHost)> onState;
        std::function<void(const Contact&)> onContact;
        /// A frame about a cell.
        std::function<void(const GossipFrame&)> onCellFrame;
        /// A heartbeat of a host of an earlier release.
        std::function<void(const HostHeartbeat&)> onEarlierRelease;
        /// The heartbeat for hosts of an earlier release.
        std::function<std::string()> heartbeatForEarlierRelease;
    };

    HostGossip(Scheduler::Runtime&, HeartbeatPort&, const HostSettings&, HostDirectory&);

    void start(Hooks);
    /// Sets this host's state. A change is part of all messages from now on.
    void publish(const HostState&);
    void setConfigVersion(int64_t version) { m_configVersion = version; }
    /// Sends heartbeats; called at the heartbeat interval.
    void sendRound();
    /// Sends news to the watchers without waiting for the next round, but not more often than every 100 ms.
    void flush();
    /// Asks watched hosts that are silent, and reports those that stay so; called every few hundred milliseconds.
    void checkSilence();
    /// Sends this host's state and `cellFrames` to another host.
    void sendCells(const HostState& to, const std::vector<std::string>& cellFrames);
    /// Hosts that are watched besides those that send their heartbeats here.
    void watchAlso(const std::set<Common::DaemonId>& hosts);
    /// Addresses "IP:port" of heartbeats whose hosts are asked for their state in each round.
    void askEachRound(std::set<std::string> addresses) { m_askedEachRound = std::move(addresses); }
    /// This process stood still: silence counts from now on.
    void resumed();

    const GossipCounters& counters() const { return m_counters; }

private:
    using Key = HostDirectory::Key;
    /// A frame that is still to be sent to some hosts.
    struct Rumor {
        uint64_t id = 0;
        std::string bytes;
        size_t sendsLeft = 0;
    };
    enum class Answer {
        NotWanted,
        Wanted,
        /// The sender knows few hosts yet: the answer should list more.
        ManyHostsWanted,
    };

    bool isDiscoveringHosts() const;
    void onMessage(std::string_view bytes);
    void onHeartbeatOfEarlierRelease(std::string_view text);
    void onFrame(const GossipFrame&);
    void onStateFrame(const GossipFrame&);
    void onSilenceFrame(const GossipFrame&);
    void onSender(const GossipFrame&);
    void refute();
    void reportSilence(const HostDirectory::Row&);
    bool isOnlyWitness(const HostDirectory::Row&) const;
    void updateWatchers();
    std::vector<std::string> discoveryAddresses();
    std::vector<std::string> randomAddresses(size_t count);
    std::string silentAddress();
    void ask(const std::string& address);
    std::string beginMessage(Answer) const;
    void appendRumors(std::string& message, size_t receivers);
    void appendHosts(std::string& message, size_t bytes);
    void appendSilence(std::string& message, const HostDirectory::Row&) const;
    void send(const std::string& address, const std::string& message);
    void spread(uint64_t id, std::string bytes, bool isUrgent);
    void sendToWatchers();

    Scheduler::Runtime& m_runtime;
    HeartbeatPort& m_port;
    const HostSettings& m_settings;
    HostDirectory& m_directory;
    Hooks m_hooks;
    Key m_key;
    HostState m_state;
    uint64_t m_version = 0;
    std::string m_stateFrame;
    int64_t m_configVersion = -1;
    /// Addresses of this host's watchers.
    std::vector<std::string> m_watchers;
    /// For each host that this one watches on the ring, its other watchers.
    std::map<Key, std::vector<Key>> m_watched;
    std::set<Key> m_alsoWatched;
    /// Since when a host is watched, and when it was last asked.
    std::map<Key, Common::MonotonicTime> m_watchedSince;
    std::map<Key, Common::MonotonicTime> m_askedAt;
    std::set<std::string> m_askedEachRound;
    /// HostDirectory::changes() as of the last update of the watchers.
    std::optional<uint64_t> m_watchersAt;
    std::list<Rumor> m_rumors;
    std::map<uint64_t, std::list<Rumor>::iterator> m_rumorsById;
    /// The host after which the next list of hosts begins.
    Key m_nextListed = 0;
    uint64_t m_rounds = 0;
    Common::MonotonicTime m_startedAt;
    /// When a host that wasn't known was last discovered.
    Common::MonotonicTime m_discoveredAt;
    Common::MonotonicTime m_listeningSince;
    std::optional<Common::MonotonicTime> m_flushedAt;
    bool m_flushScheduled = false;
    GossipCounters m_counters;
    Common::Lifetime m_lifetime;
};

} // namespace Cells
