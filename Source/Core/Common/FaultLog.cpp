// Bookkeeping of faults that exist.
#include "Common/FaultLog.h"

#include "Common/ShortText.h"

namespace Common {

namespace {

    /// Longer keys that begin alike count as one.
    constexpr size_t keptBytes = 300;

    std::string kept(const std::string& key) { return shortText(key, keptBytes); }

} // namespace

bool FaultLog::report(const std::string& key, const std::string& reason)
{
    const std::string name = kept(key);
    const auto found = m_reasons.find(name);
    if (found == m_reasons.end() && m_reasons.size() >= maximumKeys)
        return false;
    if (found != m_reasons.end() && found->second == reason)
        return false;
    m_reasons[name] = reason;
    return true;
}

void FaultLog::resolve(const std::string& key)
{
    if (!m_reasons.empty())
        m_reasons.erase(kept(key));
}

void FaultLog::keepOnly(const std::set<std::string>& keys)
{
    std::set<std::string> names;
    for (const std::string& key : keys)
        names.insert(kept(key));
    std::erase_if(m_reasons, [&](const auto& fault) { return !names.contains(fault.first); });
}

} // namespace Common
