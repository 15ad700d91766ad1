// Entries of the list of workers that another writer has left there: they name no worker and hide no other one.
#include "platform/WorkerRegistry.h"

#include "Fakes/OddJson.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace Platform;
using Fakes::withReplaced;

namespace {

constexpr const char* goodEntry
    = R"({"service":"s1","address":"10.1.1.1:80","zone":"z1","state":"ready","capacity":{"cpu":16000,"mem_mb":32768,
          "gpus":2},"labels":["a","r1-3"],"born":17,"remaining_ms":1500})";

Scheduler::StoreValue valueOf(const std::string& text, const std::string& key = "servers/i-1")
{
    return { key, text, {} };
}

bool isRead(const std::string& text) { return readWorkerEntry(valueOf(text)).hasValue(); }

/// Answers every listing and watch with the same records.
class FixedStore final : public Cells::RecordStore {
public:
    explicit FixedStore(std::vector<Scheduler::StoreValue> records)
        : m_records(std::move(records))
    {
    }
    void get(const std::string&, Cells::Freshness, Common::Callback<std::optional<Scheduler::StoreValue>> done) override
    {
        done(std::optional<Scheduler::StoreValue> {});
    }
    void list(const std::string&, Cells::Freshness, Common::Callback<Cells::RecordListing> done) override
    {
        done(Cells::RecordListing { m_records, { 9 } });
    }
    void watch(const std::string&, Common::StoreRevision, Common::Duration,
        Common::Callback<Scheduler::StoreChanges> done) override
    {
        done(Scheduler::StoreChanges { { 9 }, m_records, { "servers/i-8", "other/i-9", "" } });
    }
    void commit(Cells::RecordTransaction, Common::Callback<Cells::TransactionOutcome>) override { }

private:
    std::vector<Scheduler::StoreValue> m_records;
};

/// Good entries before, between and after odd ones.
std::vector<Scheduler::StoreValue> mixedEntries()
{
    const std::string good = goodEntry;
    return { valueOf(good, "servers/i-1"), valueOf(Fakes::nestedLists(Fakes::excessiveDepth), "servers/i-2"),
        valueOf(withReplaced(good, "16000", "9e18"), "servers/i-3"), valueOf(good, "servers/i-4"),
        valueOf(withReplaced(good, ":80", ":99999"), "servers/i-5"), valueOf("\xff\xfe", "servers/i-6"),
        valueOf(good, "servers/i-7"), valueOf(good, "other"), valueOf(good, "servers/") };
}

std::vector<std::string> idsOf(const std::vector<Cells::WorkerEntry>& entries)
{
    std::vector<std::string> ids;
    ids.reserve(entries.size());
    for (const Cells::WorkerEntry& entry : entries)
        ids.push_back(entry.id.value());
    return ids;
}

} // namespace

// Guards against a worker that is listed in a second cell, whose owner acknowledges and stops the runs of the first.
TEST_CASE("an entry without labels, or another field that tells what the worker is, names no worker")
{
    REQUIRE(readWorkerEntry(valueOf(goodEntry)));
    for (const char* const field : { "service", "address", "zone", "state", "capacity", "labels" }) {
        CAPTURE(field);
        const std::string name = '"' + std::string(field) + '"';
        CHECK_FALSE(readWorkerEntry(valueOf(withReplaced(goodEntry, name, "\"other\""))));
    }
}

TEST_CASE("a worker's entry with a number that its field can't have names no worker")
{
    REQUIRE(isRead(goodEntry));
    const std::vector<std::pair<std::string, std::string>> fields { { R"("cpu":)", "16000" },
        { R"("mem_mb":)", "32768" }, { R"("gpus":)", "2" }, { R"("born":)", "17" }, { R"("remaining_ms":)", "1500" } };
    for (const auto& [name, value] : fields) {
        for (const std::string& number : Fakes::oddNumbers()) {
            const std::string text = withReplaced(goodEntry, name + value, name + number);
            CAPTURE(text);
            CHECK_FALSE(isRead(text));
        }
    }
}

TEST_CASE("a worker's capacity with a fraction is rounded down")
{
    const auto entry = readWorkerEntry(valueOf(withReplaced(goodEntry, "16000", "1500.75")));
    REQUIRE(entry);
    CHECK(entry->capacity.milliCores == 1500);
}

TEST_CASE("a worker's entry with a port out of range or without a numeric address names no worker")
{
    for (const char* const address : { "10.1.1.1:99999", "10.1.1.1:65536", "10.1.1.1:0", "10.1.1.1:-1",
             "10.1.1.1:", "10.1.1.1", ":80", "10.1.1.1:80x", "10.1.1.1:80:80", "10.1.1.999:80", "host:80", "",
             "10.1.1.1:80/x", "10.1.1.1:1e3", "[10.1.1.1:80" }) {
        CAPTURE(address);
        CHECK_FALSE(isRead(withReplaced(goodEntry, "10.1.1.1:80", address)));
    }
    CHECK(isRead(withReplaced(goodEntry, "10.1.1.1:80", "10.1.1.1:65535")));
    CHECK(isRead(withReplaced(goodEntry, "10.1.1.1:80", "[::1]:1")));
}

TEST_CASE("a worker's entry that is nested too deeply names no worker")
{
    for (const std::string& deep : { Fakes::nestedLists(Fakes::excessiveDepth),
             Fakes::nestedObjects(Fakes::excessiveDepth), std::string(3'000'000, '[') }) {
        CHECK_FALSE(isRead(deep));
        for (const char* const member : { R"("s1")", R"("z1")", R"("ready")", R"(["a","r1-3"])", "17", "16000" })
            CHECK_FALSE(isRead(withReplaced(goodEntry, member, deep)));
        CHECK_FALSE(isRead(withReplaced(goodEntry, R"("born")", R"("unknown":)" + deep + R"(,"born")")));
    }
}

TEST_CASE("a listing of workers with odd entries yields the good ones")
{
    FixedStore store(mixedEntries());
    WorkerRegistry registry(store);
    std::vector<std::string> listed;
    registry.list([&](const Common::Result<Cells::WorkerChanges>& changes) {
        REQUIRE(changes);
        listed = idsOf(changes->listed);
    });
    CHECK(listed == std::vector<std::string> { "i-1", "i-4", "i-7" });
}

TEST_CASE("a watch of workers with odd entries yields the good ones and removes the odd ones")
{
    FixedStore store(mixedEntries());
    WorkerRegistry registry(store);
    std::vector<std::string> listed;
    std::vector<std::string> removed;
    registry.watch({}, {}, [&](const Common::Result<Cells::WorkerChanges>& changes) {
        REQUIRE(changes);
        CHECK(changes->upTo.value == 9);
        listed = idsOf(changes->listed);
        for (const Common::WorkerId& id : changes->removed)
            removed.push_back(id.value());
    });
    CHECK(listed == std::vector<std::string> { "i-1", "i-4", "i-7" });
    CHECK(removed == std::vector<std::string> { "i-2", "i-3", "i-5", "i-6", "i-8" });
}
