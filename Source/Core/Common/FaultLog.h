// Decides which faults of things from outside are logged, so that one that stays isn't logged for ever.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace Common {

/// The faults that exist now, by key.
/// Invariant: holds at most maximumKeys keys; faults of further keys aren't logged.
class FaultLog {
public:
    static constexpr size_t maximumKeys = 1000;

    /// Whether the fault is to be logged: it is new or its reason has changed.
    bool report(const std::string& key, const std::string& reason);
    void resolve(const std::string& key);
    /// Resolves the faults of all other keys.
    void keepOnly(const std::set<std::string>& keys);
    /// Number of keys with a fault.
    size_t size() const { return m_reasons.size(); }

private:
    std::map<std::string, std::string> m_reasons;
};

} // namespace Common
