// An entry is stored as
// {"n":number,"o":owner,"e":epoch,"c":commit id,"s":[side,up to,parts],"r":released,"d":[deltas]}
#include "Ledger/LogEntry.h"

#include <nlohmann/json.hpp>

namespace Ledger {

namespace {

    using nlohmann::json;

    Common::Result<LogEntry> decodeParsed(const json& parsed)
    {
        const json& snapshot = parsed.at("s");
        LogEntry entry { .number = parsed.at("n").get<uint64_t>(),
            .owner = Common::DaemonId(parsed.at("o").get<std::string>()),
            .epoch = parsed.at("e").get<uint64_t>(),
            .commitId = parsed.at("c").get<std::string>(),
            .snapshot = SnapshotName { snapshot.at(0).get<uint32_t>(), snapshot.at(1).get<uint64_t>(),
                snapshot.at(2).get<uint32_t>() },
            .released = parsed.contains("r") };
        for (const json& packed : parsed.at("d")) {
            Common::Result<LedgerDelta> delta = decodeDelta(packed);
            if (!delta)
                return delta.reason();
            entry.deltas.push_back(std::move(*delta));
        }
        return entry;
    }

} // namespace

std::string encodeEntry(const LogEntry& head, const std::vector<std::string>& deltas)
{
    json body { { "n", head.number }, { "o", head.owner.value() }, { "e", head.epoch }, { "c", head.commitId },
        { "s", json::array({ head.snapshot.side, head.snapshot.upTo, head.snapshot.parts }) } };
    if (head.released)
        body["r"] = 1;
    std::string text = body.dump();
    text.back() = ',';
    text += "\"d\":[";
    for (size_t index = 0; index < deltas.size(); ++index) {
        if (index > 0)
            text += ',';
        text += deltas[index];
    }
    text += "]}";
    return text;
}

Common::Result<LogEntry> decodeEntry(const std::string& value)
{
    try {
        return decodeParsed(json::parse(value));
    } catch (const json::exception& error) {
        return Common::Failure { Common::ErrorCode::ProtocolError, error.what() };
    }
}

} // namespace Ledger
