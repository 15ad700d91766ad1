// The other hosts of the fleet: their states and whether they are alive. HostGossip updates it; RelayedStore picks
// relays from it.
#pragma once

#include "Cells/HostSettings.h"
#include "Cells/HostState.h"
#include "Common/Ids.h"
#include "Common/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Cells {

/// Of several processes at one address only the one that started last is kept. A host counts as alive until two others
/// report that they don't hear it, or one does for the host timeout without being refuted. A host that hears nobody
/// takes nobody for alive.
class HostDirectory {
public:
    /// Identifies a host in the exchange, see GossipFrame.
    using Key = uint64_t;
    struct Row {
        HostState state;
        Key key = 0;
        /// Grows with each change of the state in its process.
        uint64_t version = 0;
        /// The state as it is passed on to other hosts.
        std::string frame;
        /// When a message of the host itself was last received.
        std::optional<Common::MonotonicTime> heardAt;
        /// Hosts that report not to hear this version, and since when the first report is known.
        std::set<Key> silenceReporters;
        Common::MonotonicTime silentSince;
        /// The only host that could hear it doesn't.
        bool isSilenceConfirmed = false;
        /// A host of an earlier release. It sends heartbeats to all hosts and isn't reported by others.
        bool isEarlierRelease = false;
    };

    explicit HostDirectory(const HostSettings&);

    static Key keyOf(const Common::DaemonId&);

    /// Whether the state is that of a new host or newer than the known one.
    bool recordState(HostState, uint64_t version, std::string frame, Common::MonotonicTime now);
    /// A heartbeat of a host of an earlier release.
    void recordEarlierRelease(HostState, Common::MonotonicTime now);
    /// A message of the host itself was received.
    void recordContact(Key, Common::MonotonicTime now);
    /// Returns whether the report is news about the version of the host's state that is known.
    bool recordSilence(Key, uint64_t version, Key reporter, bool isConfirmed, Common::MonotonicTime now);
    /// Another host or a cell record mentions a host that receives heartbeats at this address.
    void learnAddress(const std::string& heartbeatAddress, Common::MonotonicTime now);
    /// Drops hosts that have been silent and addresses that haven't been mentioned for long.
    void expire(Common::MonotonicTime now);

    bool isAlive(const Common::DaemonId&, Common::MonotonicTime now) const;
    bool isAlive(const Row&, Common::MonotonicTime now) const;
    /// Whether any host was heard within the host timeout.
    bool hearsAnyone(Common::MonotonicTime now) const;
    /// Whether the host itself was heard within the host timeout.
    bool isHeard(const Row&, Common::MonotonicTime now) const;
    /// Whether a process with a later start was seen at the same address.
    bool isReplaced(const Common::DaemonId&) const;
    const HostState* find(const Common::DaemonId&) const;
    const Row* row(Key) const;
    /// The host that serves calls at the address; null when none is known.
    const Row* rowAt(const std::string& address) const;
    std::vector<const HostState*> liveHosts(Common::MonotonicTime now) const;
    const std::map<Key, Row>& rows() const { return m_rows; }
    /// Region of a failure domain; empty when no host of the domain was ever known.
    Common::RegionId regionOf(const Common::DomainId&) const;
    /// Seeds and addresses that were mentioned and at which no live host is known.
    std::set<std::string> unknownAddresses(Common::MonotonicTime now) const;
    /// Grows with each change of a host's state or liveness, as of the last call of expire().
    uint64_t changes() const { return m_changes; }

private:
    void removeOthersAt(const HostState&, Common::MonotonicTime now);

    const HostSettings& m_settings;
    std::map<Key, Row> m_rows;
    /// Hosts by the address where they serve calls.
    std::map<std::string, Key> m_addresses;
    std::map<Common::DomainId, Common::RegionId> m_regions;
    std::map<Common::DaemonId, Common::MonotonicTime> m_replaced;
    /// Addresses mentioned by others, with the time of the last mention.
    std::map<std::string, Common::MonotonicTime> m_learnedAddresses;
    std::optional<Common::MonotonicTime> m_lastContactAt;
    /// Hosts that were not alive at the last call of expire().
    std::set<Key> m_dead;
    uint64_t m_changes = 0;
};

} // namespace Cells
