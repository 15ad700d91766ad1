// Transfers waiting tasks to peer cells, receives transfers and cancels parts.
#include "Cells/CellEngine.h"

#include "Common/Log.h"

namespace Cells {

namespace {

    /// Time until heartbeats account for transferred tasks: two heartbeats of the receiving owner and the slack between
    /// them.
    constexpr Common::Duration transferReportDelay = std::chrono::milliseconds(1500);

} // namespace

std::optional<std::pair<CellId, size_t>> CellEngine::findCellWithCapacity(
    const Common::ServiceName& service, const Jobs::StepSpec& spec)
{
    const Common::MonotonicTime now = m_runtime.now();
    std::erase_if(m_recentTransfers, [now](const auto& row) { return now - row.second.at > transferReportDelay; });
    std::optional<std::pair<CellId, size_t>> best;
    for (const auto& [cell, room] : m_peerCells.taskSlots(m_id, service, spec)) {
        const auto recent = m_recentTransfers.find(cell);
        const size_t taken = recent == m_recentTransfers.end() ? 0 : recent->second.tasks;
        if (room > taken && (!best || room - taken > best->second))
            best.emplace(cell, room - taken);
    }
    return best;
}

/// Transfers waiting tasks of a long-running step to the peer cell with the most room. These tasks don't depend on each
/// other, so they may run in different cells.
void CellEngine::transferTasks(LiveJob& job, const Candidate& candidate)
{
    const Jobs::StepSpec& spec = job.stepSpec(candidate.step);
    const auto other = findCellWithCapacity(job.policy().service, spec);
    if (!other)
        return;
    const LiveStep& step = job.occurrences().at(candidate.occurrence).steps[candidate.step];
    std::vector<uint32_t> tasks;
    for (uint32_t index = 0; index < step.tasks.size() && tasks.size() < other->second; ++index) {
        if (step.tasks[index].waiting())
            tasks.push_back(index);
    }
    RecentTransfer& recent = m_recentTransfers[other->first];
    recent.at = m_runtime.now();
    recent.tasks += tasks.size();
    const TaskTransfer transfer = job.transferTasks(candidate.occurrence, candidate.step, tasks, m_id, other->first);
    LC_INFO(Jobs,
        "event=tasks-given job=" << job.id().value() << " tasks=" << tasks.size() << " from=" << m_id.value()
                                 << " to=" << transfer.to.value() << " gift=" << transfer.number);
    m_committer.transferTasks(job.id(), transfer.key(), transfer.encode(),
        m_lifetime.guard([this, transfer](const Common::Result<bool>& done) {
            if (done && *done) {
                m_peerCells.sendTransfer(transfer);
                return;
            }
            if (LiveJob* const kept = findJob(transfer.part.id); kept && !isFinal(kept->phase())) {
                kept->revertTransfer(transfer);
                markChanged(*kept);
            }
        }));
}

void CellEngine::receiveTransfer(const TaskTransfer& transfer)
{
    LC_INFO(Jobs,
        "event=tasks-received job=" << transfer.part.id.value() << " cell=" << m_id.value()
                                    << " from=" << transfer.from.value() << " gift=" << transfer.number);
    // An earlier owner may have received it too and started its tasks before the receipt was durable.
    constexpr bool mayHaveStarted = true;
    if (LiveJob* const known = findJob(transfer.part.id))
        known->receiveTransfer(transfer);
    else
        addJob(transfer.part, mayHaveStarted);
    m_committer.recordReceivedTransfer(transfer.part.id, transfer.key());
    schedulePlacement();
}

/// Notifies the owners of peer cells that hold tasks of the job of its cancellation, or asks them to check their
/// transfers. Each new owner repeats this, in case a message was lost or the former owner stopped before sending it.
void CellEngine::notifyParts(const LiveJob& job)
{
    const bool cancelled = job.phase() == Jobs::JobPhase::Cancelled || job.phase() == Jobs::JobPhase::Failed;
    for (const std::string& name : job.partCells()) {
        const CellId cell(name);
        if (cancelled && m_partCancellations[job.id()].insert(cell).second) {
            m_peerCells.cancel(cell, job.cancelledPart(),
                m_lifetime.guard([this, id = job.id(), cell] { onPartCancelled(id, cell); }));
        } else if (!cancelled && job.recovered()) {
            m_peerCells.requestTransferCheck(cell, job.id());
        }
    }
}

void CellEngine::onPartCancelled(const Common::JobId& id, const CellId& cell)
{
    const auto pending = m_partCancellations.find(id);
    if (pending == m_partCancellations.end())
        return;
    pending->second.erase(cell);
    if (pending->second.empty())
        m_partCancellations.erase(pending);
    answerStopWaiters();
}

void CellEngine::handlePartMessage(const PartMessage& message, const Common::Callback<Common::Done>& callback)
{
    if (m_closed || m_releasing) {
        callback(Common::Failure { Common::ErrorCode::NotOwner, "the cell is being handed over", std::nullopt });
        return;
    }
    if (const auto* const transfer = std::get_if<TaskTransfer>(&message)) {
        receiveTransfer(*transfer);
        callback(Common::Done {});
        return;
    }
    cancelPart(std::get<Jobs::JobRecord>(message), callback);
}

void CellEngine::cancelPart(const Jobs::JobRecord& part, const Common::Callback<Common::Done>& callback)
{
    LiveJob* const known = findJob(part.id);
    if (known && !known->isPart()) {
        // The job is this cell's own and some of its tasks were transferred back; this cell issued the cancellation.
        callback(Common::Done {});
        return;
    }
    LC_INFO(Jobs,
        "event=part-cancelled job=" << part.id.value() << " cell=" << m_id.value() << " known=" << (known != nullptr));
    if (known) {
        // A repeated message waits for this cell only: tasks may have been transferred in a circle.
        const StopScope scope = isFinal(known->phase()) ? StopScope::ThisCell : StopScope::AllCells;
        cancelLocalJob(*known, [this, id = part.id, scope, callback](const Common::Result<Common::Done>& durable) {
            if (durable)
                awaitStopped(id, scope, callback);
            else
                callback(durable);
        });
    } else {
        m_committer.markChangedUrgently(addJob(part, false).id(), callback);
    }
}

} // namespace Cells
