// Transfers of a job's tasks between cells.
#include "Cells/LiveJob.h"

#include <algorithm>

namespace Cells {

TaskTransfer LiveJob::transferTasks(
    uint32_t occurrence, uint32_t step, const std::vector<uint32_t>& tasks, const CellId& from, const CellId& to)
{
    TaskTransfer transfer { from, to, ++m_record.transfersSent, toRecord() };
    transfer.part.isPart = true;
    transfer.part.partCells.clear();
    transfer.part.transfersSent = 0;
    transfer.part.transfersReceived = { { from.value(), { transfer.number } } };
    for (auto& [index, steps] : transfer.part.progress) {
        for (auto& row : steps) {
            for (Jobs::TaskProgress& task : row)
                task.transferredTo = from.value();
        }
    }
    LiveStep& source = m_occurrences.at(occurrence).steps.at(step);
    for (const uint32_t index : tasks) {
        transfer.part.progress.at(occurrence).at(step).at(index) = source.tasks[index].progress;
        source.tasks[index].progress.transferredTo = to.value();
        --source.waitingCount;
    }
    m_record.partCells.insert(to.value());
    ++m_changes;
    return transfer;
}

template <typename Change> void LiveJob::forEachTransferredTask(const TaskTransfer& transfer, const Change& change)
{
    for (const auto& [occurrence, steps] : transfer.part.progress) {
        for (uint32_t step = 0; step < steps.size(); ++step) {
            for (uint32_t index = 0; index < steps[step].size(); ++index) {
                LiveTask* const task = find(Jobs::TaskName { id(), occurrence, step, index });
                if (task && steps[step][index].transferredTo.empty())
                    change(*task, steps[step][index], m_occurrences.at(occurrence).steps[step]);
            }
        }
    }
}

void LiveJob::revertTransfer(const TaskTransfer& transfer)
{
    forEachTransferredTask(transfer, [&](LiveTask& task, const Jobs::TaskProgress&, LiveStep& step) {
        if (task.progress.transferredTo != transfer.to.value())
            return;
        task.progress.transferredTo.clear();
        ++step.waitingCount;
    });
    ++m_changes;
}

void LiveJob::receiveTransfer(const TaskTransfer& transfer)
{
    ++m_changes;
    if (!m_record.transfersReceived[transfer.from.value()].insert(transfer.number).second)
        return;
    forEachTransferredTask(transfer, [](LiveTask& task, const Jobs::TaskProgress& transferred, LiveStep& step) {
        if (task.progress.transferredTo.empty() || task.progress.done)
            return;
        const uint32_t lastAttempt = std::max(task.progress.lastAttempt, transferred.lastAttempt);
        task.progress = transferred;
        task.progress.lastAttempt = lastAttempt;
        ++step.waitingCount;
    });
}

Jobs::JobRecord LiveJob::cancelledPart() const
{
    Jobs::JobRecord part = m_record;
    part.isPart = true;
    part.partCells.clear();
    part.transfersReceived.clear();
    part.transfersSent = 0;
    return part;
}

} // namespace Cells
