// Calls to one worker that have had no answer, so that they may still be carried out.
#pragma once

#include "Common/Units.h"
#include "Jobs/TaskName.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace Cells {

struct CellSettings;

/// A call without an answer is carried out within CellSettings::longestCallDelay or never, by whichever life of the
/// worker is up then and has seen no higher token. A refusal, a stop or a report tells of the life that answered, so
/// none of them settles a copy of a start order that is still under way: a later life may carry it out. Until then
/// - the task is started on no other worker,
/// - no end is acknowledged: the copy would start the task after an end that is noted.
class CallsUnderWay {
public:
    explicit CallsUnderWay(const CellSettings&);

    /// A copy of a start order of the task is sent at that time; the one before it, if any, was left unanswered.
    void startSent(const Jobs::TaskName&, Common::MonotonicTime);
    /// A copy that was sent at that time at the latest, by this owner or an earlier one, was left unanswered.
    void startUnanswered(const Jobs::TaskName&, Common::MonotonicTime);
    /// The copy that was sent at that time was answered, by whichever life, or can't have arrived.
    void startSettled(const Jobs::TaskName&, Common::MonotonicTime sentAt);
    /// A report that was asked for at that time shows what came of all calls that were sent long enough before.
    void settleByReport(Common::MonotonicTime askedAt);

    bool hasStarts() const { return !m_starts.empty(); }
    /// The tasks with a start order that is under way for so long that its answer is overdue, each with the time at
    /// which the last copy was sent.
    std::vector<std::pair<Jobs::TaskName, Common::MonotonicTime>> overdueStarts(Common::MonotonicTime now) const;
    /// When the last copy of any start order that is under way was sent; long ago if there is none.
    Common::MonotonicTime lastStart() const;
    /// When the last copy of a start order of the task that is under way was sent; empty if there is none.
    std::optional<Common::MonotonicTime> lastStart(const Jobs::TaskName&) const;

private:
    struct Start {
        /// The last copy that was left unanswered; empty if there is none.
        std::optional<Common::MonotonicTime> unanswered;
        /// The copy that waits for its answer; empty if none does.
        std::optional<Common::MonotonicTime> waiting;

        Common::MonotonicTime lastSentAt() const;
        bool isOverdue(Common::MonotonicTime now, Common::Duration answerTimeout) const;
    };

    Common::Duration m_longestDelay;
    Common::Duration m_answerTimeout;
    /// Invariant: each has a copy.
    std::map<Jobs::TaskName, Start> m_starts;
};

} // namespace Cells
