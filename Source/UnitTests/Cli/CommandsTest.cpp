// Calls, output and exit code of each command against scripted daemons.
#include "Cli/Commands.h"

#include "Cli/CliFakes.h"
#include "Cli/RevisionNote.h"

#include <doctest/doctest.h>

using namespace CliFakes;
using Cli::ExitCode;
using Cli::Options;

namespace {

const char* const document = R"({"profiles": {"previews": {}}})";

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

Cli::HttpReply statusReply(const std::string& revisions)
{
    return reply(200, R"({"latest": 8, "daemons": [)" + revisions + "]}");
}

std::string daemonRow(const std::string& id, int revision, bool live)
{
    return R"({"daemon": ")" + id + R"(", "domain": "d", "revision": )" + std::to_string(revision)
        + (live ? R"(, "live": true})" : R"(, "live": false})");
}

} // namespace

TEST_CASE("a document's revision note is written and separated again")
{
    const Cli::NotedDocument noted = Cli::takeRevisionNote(Cli::withRevisionNote({ 7 }, "{}\n"));
    CHECK(noted.base == Common::ConfigRevision { 7 });
    CHECK(noted.text == "{}\n");
    for (const char* text : { "{}", "// lavendercart revision x\n{}", "// lavendercart revision 7", "" }) {
        CHECK_FALSE(Cli::takeRevisionNote(text).base);
        CHECK(Cli::takeRevisionNote(text).text == text);
    }
}

TEST_CASE("config check reports every fault and calls no daemon")
{
    CommandFixture fixture;
    fixture.files["good"] = document;
    fixture.files["bad"] = R"({"profile": {}, "services": {"s": {}}})";
    CHECK(fixture.run("config check", { "good" }) == ExitCode::Success);
    CHECK(fixture.run("config check", { "bad" }) == ExitCode::Invalid);
    CHECK(contains(fixture.errors.str(), "did you mean \"profiles\"?"));
    CHECK(contains(fixture.errors.str(), "services.s.team: missing"));
    CHECK(fixture.run("config check", { "none" }) == ExitCode::Usage);
    CHECK(fixture.transport.sent.empty());
}

TEST_CASE("config apply sends the noted base and waits until every live daemon has the revision")
{
    CommandFixture fixture;
    fixture.files["f"] = Cli::withRevisionNote({ 7 }, document);
    fixture.transport.on("POST /v1/config", reply(200, R"({"revision": 8})"));
    int asked = 0;
    fixture.transport.on("GET /v1/config/status", [&](const Transport::Sent&) {
        const int revision = ++asked < 3 ? 7 : 8;
        return Result<Cli::HttpReply>(statusReply(daemonRow("x", 8, true) + "," + daemonRow("y", revision, true)));
    });
    CHECK(fixture.run("config apply", { "f" }) == ExitCode::Success);
    CHECK(asked == 3);
    const nlohmann::json body = fixture.transport.sent[0].body();
    CHECK(body["baseRevision"] == 7);
    CHECK(body["document"] == document);
    CHECK(body["changeId"] == "change-made-up");
}

TEST_CASE("config apply lists the live daemons that do not get the revision in time")
{
    CommandFixture fixture;
    fixture.files["f"] = document;
    fixture.transport.on("POST /v1/config", reply(200, R"({"revision": 8})"));
    fixture.transport.on("GET /v1/config/status",
        statusReply(
            daemonRow("slow-1", 7, true) + "," + daemonRow("dead-1", 7, false) + "," + daemonRow("x", 9, true)));
    CHECK(fixture.run("config apply", { "f" }, Options { .base = "7" }) == ExitCode::Incomplete);
    CHECK(contains(fixture.output.str(), "slow-1"));
    CHECK_FALSE(contains(fixture.output.str(), "dead-1"));
    CHECK(fixture.now.time_since_epoch() >= std::chrono::seconds(12));
}

TEST_CASE(
    "config apply has an exit code for each failure: conflict, faults, unknown outcome, unreachable, missing base")
{
    CommandFixture fixture;
    fixture.files["f"] = document;
    CHECK(fixture.run("config apply", { "f" }) == ExitCode::Usage);
    CHECK(fixture.run("config apply", { "f" }, Options { .base = "7" }) == ExitCode::Unreachable);
    fixture.transport.on("POST /v1/config", [&](const Transport::Sent& sent) -> Result<Cli::HttpReply> {
        const auto base = sent.body()["baseRevision"].get<int>();
        if (base == 1)
            return reply(409, R"({"error": {"code": "revision-conflict", "message": "m"}, "baseRevision": 1,
                "currentRevision": 2, "difference": [{"path": "profiles.a", "before": "1", "after": ""}]})");
        if (base == 2)
            return reply(422, R"({"error": {"code": "invalid-configuration", "message": "m"},
                "faults": [{"path": "profiles.b", "kind": "missing"}]})");
        if (base == 3)
            return Failure { .code = ErrorCode::Timeout };
        return errorReply(503, "store-unavailable");
    });
    CHECK(fixture.run("config apply", { "f" }, Options { .base = "1" }) == ExitCode::Conflict);
    CHECK(contains(fixture.errors.str(), "profiles.a"));
    CHECK(fixture.run("config apply", { "f" }, Options { .base = "2" }) == ExitCode::Invalid);
    CHECK(contains(fixture.errors.str(), "profiles.b"));
    CHECK(fixture.run("config apply", { "f" }, Options { .base = "3" }) == ExitCode::Unknown);
    CHECK(contains(fixture.errors.str(), "--change-id change-made-up"));
    CHECK(fixture.run("config apply", { "f" }, Options { .base = "4" }) == ExitCode::NotRun);
}

TEST_CASE("config apply --base current uses the revision in force, or zero if there is none")
{
    CommandFixture fixture;
    fixture.files["f"] = document;
    bool configured = false;
    fixture.transport.on("GET /v1/config/status", statusReply(""));
    fixture.transport.on("GET /v1/config", [&](const Transport::Sent&) {
        return Result<Cli::HttpReply>(
            configured ? reply(200, R"({"revision": 5, "document": "{}"})") : errorReply(503, "no-configuration"));
    });
    fixture.transport.on("POST /v1/config", reply(200, R"({"revision": 6})"));
    CHECK(fixture.run("config apply", { "f" }, Options { .base = "current" }) == ExitCode::Success);
    CHECK(fixture.transport.sent[1].body()["baseRevision"] == 0);
    configured = true;
    CHECK(fixture.run("config apply", { "f" }, Options { .base = "current" }) == ExitCode::Success);
    CHECK(fixture.transport.sent[4].body()["baseRevision"] == 5);
}

TEST_CASE("config show prints a document that can be edited and applied, or the difference to a file")
{
    CommandFixture fixture;
    fixture.files["f"] = R"({"profiles": {"previews": {"deadline": "1s"}}})";
    fixture.transport.on(
        "GET /v1/config", reply(200, nlohmann::json { { "revision", 7 }, { "document", document } }.dump()));
    CHECK(fixture.run("config show") == ExitCode::Success);
    CHECK(fixture.output.str() == Cli::withRevisionNote({ 7 }, document));
    CHECK(fixture.run("config show", {}, Options { .diff = "f" }) == ExitCode::Success);
    CHECK(contains(fixture.output.str(), "profiles.previews.deadline"));
}

TEST_CASE("config status fails when a live daemon lacks the latest revision")
{
    CommandFixture fixture;
    fixture.transport.on("GET /v1/config/status",
        reply(200, R"({"latest": 8, "daemons": [{"daemon": "x", "live": true, "current": false, "revision": 7}]})"));
    CHECK(fixture.run("config status") == ExitCode::Incomplete);
    CHECK(contains(fixture.output.str(), "NO"));
}

TEST_CASE("a request's outcome decides the exit code, and only the answer goes to standard output")
{
    struct Row {
        Result<Cli::HttpReply> reply;
        ExitCode exitCode;
        std::string output;
    };
    const std::string bytes("whole\0answer", 12);
    const std::vector<Row> rows {
        { reply(200, bytes, { { "x-outcome", "answer" } }), ExitCode::Success, bytes },
        { errorReply(503, "overloaded"), ExitCode::NotRun, "" },
        { reply(502, "{}", { { "x-outcome", "unknown" } }), ExitCode::Unknown, "" },
        { reply(200, "from a proxy"), ExitCode::Unknown, "" },
        { Failure { .code = ErrorCode::TruncatedAnswer }, ExitCode::Unknown, "" },
        { Failure { .code = ErrorCode::ConnectFailed }, ExitCode::Unreachable, "" },
    };
    for (const Row& row : rows) {
        CommandFixture fixture;
        fixture.transport.on("POST /v1/services/a%20b/requests", [&](const Transport::Sent&) { return row.reply; });
        CHECK(fixture.run("request", { "a b" }, Options { .body = "x", .deadlineMilliseconds = 300 }) == row.exitCode);
        CHECK(fixture.output.str() == row.output);
        const auto& headers = fixture.transport.sent[0].call.headers;
        CHECK(headers[0] == std::pair<std::string, std::string>("X-Request-Id", "request-made-up"));
        CHECK(headers[2] == std::pair<std::string, std::string>("X-Deadline-Ms", "300"));
    }
}

TEST_CASE("a request whose answer was lost is not sent to another daemon")
{
    CommandFixture fixture;
    fixture.transport.fail("POST", ErrorCode::ConnectionLost, "a:1");
    fixture.transport.on("POST", reply(200, "", { { "x-outcome", "answer" } }), "b:1");
    CHECK(fixture.run("request", { "s" }) == ExitCode::Unknown);
    CHECK(fixture.transport.sent.size() == 1);
}

TEST_CASE("a job is submitted from a file and flags, with an id that makes it repeatable")
{
    CommandFixture fixture;
    fixture.files["job"] = R"({"team": "glass", "profile": "stencils", "command": {"ms": 5}, // a comment
        "resources": {"slots": 1, "memoryMb": 64}})";
    fixture.transport.fail("POST /v1/jobs", ErrorCode::ConnectionLost, "a:1");
    fixture.transport.on("POST /v1/jobs", reply(201, R"({"job": {"id": "job-made-up", "state": "queued"}})"), "b:1");
    CHECK(fixture.run("job submit", { "job" }, Options { .team = "desk", .slots = 2 }) == ExitCode::Success);
    const nlohmann::json body = fixture.transport.sent[1].body();
    CHECK(body["id"] == "job-made-up");
    CHECK(body["team"] == "desk");
    CHECK(body["resources"] == nlohmann::json { { "slots", 2 }, { "memoryMb", 64 } });
    CHECK(contains(fixture.output.str(), "queued"));
    CHECK(fixture.run("job submit", {}, Options { .team = "desk" }) == ExitCode::Usage);
    CHECK(fixture.run("job submit", {}, Options { .team = "t", .profile = "p", .command = "{" }) == ExitCode::Usage);
}

TEST_CASE("waiting for a job ends with an exit code for the job's final state")
{
    const std::map<std::string, ExitCode> ends { { "finished", ExitCode::Success }, { "failed", ExitCode::WorkFailed },
        { "unknown", ExitCode::Unknown }, { "running", ExitCode::Incomplete } };
    for (const auto& end : ends) {
        const std::string& state = end.first;
        CAPTURE(state);
        CommandFixture fixture;
        int asked = 0;
        fixture.transport.on("GET /v1/jobs/j", [&](const Transport::Sent&) {
            const std::string shown = ++asked < 3 ? "running" : state;
            return Result<Cli::HttpReply>(reply(200, R"({"job": {"id": "j", "state": ")" + shown + "\"}}"));
        });
        CHECK(fixture.run("job status", { "j" }, Options { .wait = true }) == end.second);
    }
}

TEST_CASE("job submit --wait polls the job under the id that the daemon assigned")
{
    CommandFixture fixture;
    fixture.transport.on("POST /v1/jobs", reply(201, R"({"job": {"id": "j-14-key", "state": "queued"}})"));
    fixture.transport.on("GET /v1/jobs/j-14-key", reply(200, R"({"job": {"id": "j-14-key", "state": "finished"}})"));
    const Options options { .id = "key", .team = "t", .profile = "p", .command = "{}", .wait = true };
    CHECK(fixture.run("job submit", {}, options) == ExitCode::Success);
}

TEST_CASE("cancelling an unknown job does not succeed")
{
    CommandFixture fixture;
    fixture.transport.on("POST /v1/jobs/cancel",
        reply(200, R"({"results": [{"id": "a", "outcome": "cancelled"}, {"id": "b", "outcome": "unknown-job"}]})"));
    CHECK(fixture.run("job cancel", { "a", "b" }) == ExitCode::NotRun);
    CHECK(fixture.transport.sent[0].body()["ids"] == nlohmann::json { "a", "b" });
}

TEST_CASE("timeline calls every host and reports those that do not answer")
{
    CommandFixture fixture;
    fixture.transport.on(
        "GET /v1/hosts", reply(200, R"({"hosts": [{"address": "a:1"}, {"address": "b:1"}, {"address": "c:1"}]})"));
    const auto events = [](int wall, const std::string& process) {
        return reply(200,
            R"({"process": ")" + process + R"(", "events": [{"time": {"wallMs": )" + std::to_string(wall)
                + R"(, "counter": 0}, "process": ")" + process + R"(", "kind": "job-started", "job": "j"}]})");
    };
    fixture.transport.on("GET /v1/timeline", events(2000, "second"), "a:1");
    fixture.transport.on("GET /v1/timeline", events(1000, "first"), "b:1");
    CHECK(fixture.run("timeline", {}, Options { .job = "j" }) == ExitCode::Incomplete);
    const std::string shown = fixture.output.str();
    CHECK(shown.find("first") < shown.find("second"));
    CHECK(contains(fixture.errors.str(), "no answer from c:1"));
    CHECK(contains(fixture.transport.sent[1].call.target, "&job=j"));
    CHECK(fixture.run("timeline", {}, Options { .hosts = { "c:1" } }) == ExitCode::Unreachable);
}

TEST_CASE("workers of all daemons are merged and the owner's row wins")
{
    CommandFixture fixture;
    fixture.transport.on("GET /v1/hosts", reply(200, R"({"hosts": [{"address": "a:1"}, {"address": "b:1"}]})"));
    fixture.transport.on(
        "GET /v1/workers", reply(200, R"({"workers": [{"worker": "w", "owned": false, "tasks": 0}]})"), "a:1");
    fixture.transport.on("GET /v1/workers",
        reply(200, R"({"workers": [{"worker": "w", "owned": true, "tasks": 3}, {"worker": "v"}]})"), "b:1");
    CHECK(fixture.run("workers", {}, Options { .json = true }) == ExitCode::Success);
    const nlohmann::json shown = nlohmann::json::parse(fixture.output.str());
    REQUIRE(shown["workers"].size() == 2);
    CHECK(shown["workers"][1]["tasks"] == 3);
}

TEST_CASE("drain requires exactly one address")
{
    CommandFixture fixture;
    fixture.transport.on("POST /v1/drain", reply(200, R"({"daemon": "x", "draining": true})"));
    CHECK(fixture.run("drain") == ExitCode::Usage);
    CHECK(fixture.transport.sent.empty());
    fixture.daemons = { "a:1" };
    CHECK(fixture.run("drain") == ExitCode::Success);
    CHECK(contains(fixture.output.str(), "x is draining"));
}
