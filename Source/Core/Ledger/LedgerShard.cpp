// Replays the recovered deltas and applies the committed ones.
#include "Ledger/LedgerShard.h"

#include "Scheduler/Runtime.h"

namespace Ledger {

namespace {

    int64_t milliseconds(Common::Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

} // namespace

LedgerShard::LedgerShard(const Scheduler::ServiceContext& context, Scheduler::StorePort& store, ShardIndex index,
    const Common::DaemonId& self, const LedgerSettings& settings)
    : m_context(context)
    , m_index(index)
    , m_settings(settings)
    , m_log(context, store, index, self, settings)
{
    m_log.setSnapshotSource([this] { return m_state.snapshot(m_settings.maximumPartBytes); });
}

void LedgerShard::recover(Common::Callback<Common::Done> done)
{
    m_state = ShardState();
    m_log.recover([this, done = std::move(done)](const Common::Result<LedgerLog::Recovered>& recovered) {
        if (recovered)
            done(replay(*recovered));
        else
            done(recovered.reason());
    });
}

Common::Result<Common::Done> LedgerShard::replay(const LedgerLog::Recovered& recovered)
{
    for (const std::string& part : recovered.snapshotParts) {
        Common::Result<Common::Done> loaded = m_state.load(part);
        if (!loaded)
            return loaded;
    }
    for (const LedgerDelta& delta : recovered.deltas)
        m_state.apply(delta);
    return Common::Done {};
}

LedgerLog::Ticket LedgerShard::commit(
    LedgerDelta delta, Common::Callback<Common::Done> done, LedgerLog::Urgency urgency)
{
    std::string encoded = encode(delta);
    return m_log.append(std::move(encoded), urgency,
        [this, delta = std::move(delta), done = std::move(done)](const Common::Result<Common::Done>& result) {
            if (result)
                m_state.apply(delta);
            done(result);
        });
}

std::vector<Common::RequestId> LedgerShard::pruneIntents()
{
    return m_state.pruneIntents(m_context.runtime.wallMilliseconds() - milliseconds(m_settings.intentRetention));
}

std::vector<Common::JobId> LedgerShard::pruneJobs()
{
    const int64_t oldest = m_context.runtime.wallMilliseconds() - milliseconds(m_settings.endedJobRetention);
    return m_state.pruneJobs(oldest, m_settings.maximumEndedJobs);
}

} // namespace Ledger
