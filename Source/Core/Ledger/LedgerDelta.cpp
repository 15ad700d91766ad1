// Encodes deltas. The letters of the kinds are: i intent added, x intent removed, j job accepted, a attempt intended,
// e attempt ended, c checkpoint recorded, k cancellation requested, d job ended.
#include "Ledger/LedgerDelta.h"

#include "Ledger/Codec.h"

namespace Ledger {

namespace {

    using nlohmann::json;

    struct Encoder {
        json operator()(const LedgerDelta::IntentAdded& delta) const
        {
            return json::array({ "i", delta.request.value(), delta.atMilliseconds });
        }
        json operator()(const LedgerDelta::IntentRemoved& delta) const
        {
            return json::array({ "x", delta.request.value() });
        }
        json operator()(const LedgerDelta::JobAccepted& delta) const
        {
            return json::array({ "j", delta.job.value(), packSubmission(delta.submission), delta.atMostOnce ? 1 : 0,
                delta.atMilliseconds });
        }
        json operator()(const LedgerDelta::AttemptIntended& delta) const
        {
            return json::array({ "a", delta.job.value(), packAttempt(delta.attempt) });
        }
        json operator()(const LedgerDelta::AttemptEnded& delta) const
        {
            return json::array({ "e", delta.job.value(), static_cast<int>(delta.end), delta.checkpoint });
        }
        json operator()(const LedgerDelta::CheckpointRecorded& delta) const
        {
            return json::array({ "c", delta.job.value(), delta.checkpoint });
        }
        json operator()(const LedgerDelta::CancelRequested& delta) const
        {
            return json::array({ "k", delta.job.value() });
        }
        json operator()(const LedgerDelta::JobEnded& delta) const
        {
            return json::array({ "d", delta.job.value(), static_cast<int>(delta.state),
                static_cast<int>(delta.attemptEnd), delta.atMilliseconds, delta.detail });
        }
    };

    LedgerDelta decodeIntent(const json& packed)
    {
        return { LedgerDelta::IntentAdded {
            Common::RequestId(packed.at(1).get<std::string>()), packed.at(2).get<int64_t>() } };
    }

    LedgerDelta decodeJob(const json& packed)
    {
        return { LedgerDelta::JobAccepted { .job = Common::JobId(packed.at(1).get<std::string>()),
            .submission = unpackSubmission(packed.at(2)),
            .atMostOnce = packed.at(3).get<int>() != 0,
            .atMilliseconds = packed.at(4).get<int64_t>() } };
    }

    LedgerDelta decodeJobEnded(const json& packed)
    {
        return { LedgerDelta::JobEnded { .job = Common::JobId(packed.at(1).get<std::string>()),
            .state = static_cast<JobState>(packed.at(2).get<int>()),
            .attemptEnd = static_cast<AttemptEnd>(packed.at(3).get<int>()),
            .atMilliseconds = packed.at(4).get<int64_t>(),
            .detail = packed.at(5).get<std::string>() } };
    }

    Common::Result<LedgerDelta> decodeKnown(const json& packed)
    {
        const auto kind = packed.at(0).get<std::string>();
        if (kind == "i")
            return decodeIntent(packed);
        if (kind == "j")
            return decodeJob(packed);
        if (kind == "d")
            return decodeJobEnded(packed);
        const auto name = packed.at(1).get<std::string>();
        if (kind == "x")
            return LedgerDelta { LedgerDelta::IntentRemoved { Common::RequestId(name) } };
        if (kind == "a")
            return LedgerDelta { LedgerDelta::AttemptIntended { Common::JobId(name), unpackAttempt(packed.at(2)) } };
        if (kind == "e") {
            const auto end = static_cast<AttemptEnd>(packed.at(2).get<int>());
            return LedgerDelta { LedgerDelta::AttemptEnded {
                Common::JobId(name), end, packed.at(3).get<std::string>() } };
        }
        if (kind == "c") {
            return LedgerDelta { LedgerDelta::CheckpointRecorded {
                Common::JobId(name), packed.at(2).get<std::string>() } };
        }
        if (kind == "k")
            return LedgerDelta { LedgerDelta::CancelRequested { Common::JobId(name) } };
        return Common::Failure { Common::ErrorCode::ProtocolError, "a delta of unknown kind " + kind };
    }

} // namespace

std::string encode(const LedgerDelta& delta) { return std::visit(Encoder {}, delta.change).dump(); }

Common::Result<LedgerDelta> decodeDelta(const json& packed)
{
    try {
        return decodeKnown(packed);
    } catch (const json::exception& error) {
        return Common::Failure { Common::ErrorCode::ProtocolError, error.what() };
    }
}

} // namespace Ledger
