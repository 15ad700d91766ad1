// Replays deltas, applies retention, and reads and writes the line format of snapshots.
#include "Ledger/ShardState.h"

#include "Ledger/Codec.h"

#include <algorithm>
#include <sstream>

namespace Ledger {

namespace {

    using nlohmann::json;

    constexpr size_t keptAttempts = 8;

    json packJob(const JobRecord& record)
    {
        json attempts = json::array();
        for (const JobAttempt& attempt : record.attempts)
            attempts.push_back(packAttempt(attempt));
        json failed = json::array();
        for (const Common::WorkerId& worker : record.failedWorkers)
            failed.push_back(worker.value());
        return json::array({ "j", record.job.value(), packSubmission(record.submission), record.atMostOnce ? 1 : 0,
            record.submittedAtMilliseconds, record.cancelRequested ? 1 : 0, record.checkpoint, failed, attempts,
            record.endState ? static_cast<int>(*record.endState) : -1, record.endedAtMilliseconds, record.detail });
    }

    JobRecord unpackJob(const json& packed)
    {
        JobRecord record { .job = Common::JobId(packed.at(1).get<std::string>()),
            .submission = unpackSubmission(packed.at(2)),
            .atMostOnce = packed.at(3).get<int>() != 0,
            .submittedAtMilliseconds = packed.at(4).get<int64_t>(),
            .cancelRequested = packed.at(5).get<int>() != 0,
            .checkpoint = packed.at(6).get<std::string>() };
        for (const json& worker : packed.at(7))
            record.failedWorkers.emplace_back(worker.get<std::string>());
        for (const json& attempt : packed.at(8))
            record.attempts.push_back(unpackAttempt(attempt));
        if (const int state = packed.at(9).get<int>(); state >= 0)
            record.endState = static_cast<JobState>(state);
        record.endedAtMilliseconds = packed.at(10).get<int64_t>();
        record.detail = packed.at(11).get<std::string>();
        return record;
    }

    void endAttempt(JobRecord& record, AttemptEnd end)
    {
        if (record.openAttempt() == nullptr)
            return;
        JobAttempt& attempt = record.attempts.back();
        attempt.end = end;
        if (end != AttemptEnd::Failed)
            return;
        auto& failed = record.failedWorkers;
        if (std::find(failed.begin(), failed.end(), attempt.worker) == failed.end())
            failed.push_back(attempt.worker);
    }

} // namespace

struct ShardState::Applier {
    ShardState& state;

    void operator()(const LedgerDelta::IntentAdded& delta) const
    {
        state.addIntent(delta.request, delta.atMilliseconds);
    }
    void operator()(const LedgerDelta::IntentRemoved& delta) const { state.m_intents.erase(delta.request); }
    void operator()(const LedgerDelta::JobAccepted& delta) const
    {
        if (state.openJob(delta.job) != nullptr)
            return;
        state.addJob(JobRecord { .job = delta.job,
            .submission = delta.submission,
            .atMostOnce = delta.atMostOnce,
            .submittedAtMilliseconds = delta.atMilliseconds });
    }
    void operator()(const LedgerDelta::AttemptIntended& delta) const
    {
        JobRecord* const record = state.openJob(delta.job);
        if (record == nullptr)
            return;
        if (record->attempts.size() >= keptAttempts)
            record->attempts.erase(record->attempts.begin());
        record->attempts.push_back(delta.attempt);
    }
    void operator()(const LedgerDelta::AttemptEnded& delta) const
    {
        JobRecord* const record = state.openJob(delta.job);
        if (record == nullptr)
            return;
        endAttempt(*record, delta.end);
        if (!delta.checkpoint.empty())
            record->checkpoint = delta.checkpoint;
    }
    void operator()(const LedgerDelta::CheckpointRecorded& delta) const
    {
        if (JobRecord* const record = state.openJob(delta.job))
            record->checkpoint = delta.checkpoint;
    }
    void operator()(const LedgerDelta::CancelRequested& delta) const
    {
        if (JobRecord* const record = state.openJob(delta.job))
            record->cancelRequested = true;
    }
    void operator()(const LedgerDelta::JobEnded& delta) const
    {
        JobRecord* const record = state.openJob(delta.job);
        if (record == nullptr)
            return;
        endAttempt(*record, delta.attemptEnd);
        record->endState = delta.state;
        record->endedAtMilliseconds = delta.atMilliseconds;
        record->detail = delta.detail;
        --state.m_openJobs;
        state.m_ended.push_back(delta.job);
    }
};

void ShardState::apply(const LedgerDelta& delta) { std::visit(Applier { *this }, delta.change); }

const JobRecord* ShardState::job(const Common::JobId& job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : &found->second;
}

JobRecord* ShardState::openJob(const Common::JobId& job)
{
    const auto found = m_jobs.find(job);
    const bool open = found != m_jobs.end() && !found->second.endState;
    return open ? &found->second : nullptr;
}

void ShardState::addJob(JobRecord record)
{
    if (record.endState)
        m_ended.push_back(record.job);
    else
        ++m_openJobs;
    const Common::JobId job = record.job;
    m_jobs.insert_or_assign(job, std::move(record));
}

void ShardState::addIntent(const Common::RequestId& request, int64_t atMilliseconds)
{
    m_intents[request] = atMilliseconds;
    m_intentOrder.emplace_back(atMilliseconds, request);
}

std::vector<Common::RequestId> ShardState::pruneIntents(int64_t oldestMilliseconds)
{
    std::vector<Common::RequestId> pruned;
    while (!m_intentOrder.empty() && m_intentOrder.front().first < oldestMilliseconds) {
        const auto [at, request] = m_intentOrder.front();
        m_intentOrder.pop_front();
        const auto found = m_intents.find(request);
        if (found == m_intents.end() || found->second != at)
            continue;
        m_intents.erase(found);
        pruned.push_back(request);
    }
    return pruned;
}

std::vector<Common::JobId> ShardState::pruneJobs(int64_t oldestMilliseconds, size_t maximumEnded)
{
    std::vector<Common::JobId> pruned;
    while (!m_ended.empty()) {
        const auto found = m_jobs.find(m_ended.front());
        const bool ended = found != m_jobs.end() && found->second.endState.has_value();
        if (ended && m_ended.size() <= maximumEnded && found->second.endedAtMilliseconds >= oldestMilliseconds)
            break;
        m_ended.pop_front();
        if (!ended)
            continue;
        pruned.push_back(found->first);
        m_jobs.erase(found);
    }
    return pruned;
}

std::vector<std::string> ShardState::snapshot(size_t maximumBytes) const
{
    std::vector<std::string> parts(1);
    const auto add = [&](const std::string& line) {
        if (!parts.back().empty() && parts.back().size() + line.size() + 1 > maximumBytes)
            parts.emplace_back();
        parts.back() += line;
        parts.back() += '\n';
    };
    // Open jobs have no order; ended jobs and intents are written in the order in which retention drops them.
    for (const auto& [job, record] : m_jobs) {
        if (!record.endState)
            add(packJob(record).dump());
    }
    for (const Common::JobId& job : m_ended) {
        const JobRecord* const record = this->job(job);
        if (record != nullptr && record->endState)
            add(packJob(*record).dump());
    }
    for (const auto& [at, request] : m_intentOrder) {
        const auto found = m_intents.find(request);
        if (found != m_intents.end() && found->second == at)
            add(json::array({ "i", request.value(), at }).dump());
    }
    return parts;
}

Common::Result<Common::Done> ShardState::load(const std::string& part)
{
    try {
        std::istringstream lines(part);
        for (std::string line; std::getline(lines, line);)
            loadLine(line);
    } catch (const json::exception& error) {
        return Common::Failure { Common::ErrorCode::ProtocolError, error.what() };
    }
    return Common::Done {};
}

void ShardState::loadLine(const std::string& line)
{
    const json packed = json::parse(line);
    if (packed.at(0) == "j")
        addJob(unpackJob(packed));
    else
        addIntent(Common::RequestId(packed.at(1).get<std::string>()), packed.at(2).get<int64_t>());
}

} // namespace Ledger
