// `lavendercart config ...`
#include "Cli/Commands.h"
#include "Cli/HttpCall.h"
#include "Cli/Report.h"
#include "Cli/RevisionNote.h"
#include "Cli/Session.h"
#include "Cli/Table.h"
#include "Cli/TimelineMerge.h"
#include "Config/ClusterConfigParser.h"
#include "Config/DocumentDifference.h"
#include "Config/SettingsPage.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <ostream>

namespace Cli {

using Common::ErrorCode;
using Common::Failure;
using Common::Result;
using nlohmann::json;

namespace {

    /// Longer than a daemon keeps resolving lost answers of the store.
    constexpr Common::Duration applyCallTimeout = std::chrono::seconds(15);
    /// Guaranteed limit for a change to be in force everywhere.
    constexpr Common::Duration inForceTimeout = std::chrono::seconds(12);
    constexpr Common::Duration statusInterval = std::chrono::milliseconds(250);
    constexpr int64_t defaultHistoryLimit = 20;

    void printFaults(Session& session, const std::vector<Config::SettingFault>& faults)
    {
        if (!session.options.json) {
            session.errors << Config::describe(faults);
            return;
        }
        json list = json::array();
        for (const Config::SettingFault& fault : faults) {
            list.push_back({ { "kind", Config::faultKindName(fault.kind) }, { "path", fault.path },
                { "found", fault.found }, { "allowed", fault.allowed }, { "nearest", fault.nearest },
                { "line", fault.line }, { "column", fault.column } });
        }
        printJson(session, json { { "faults", list } });
    }

    /// A valid document from a file, with the revision that it was edited from; otherwise why there is none.
    struct CheckedFile {
        std::optional<NotedDocument> document;
        ExitCode exitCode = ExitCode::Success;
    };

    CheckedFile readChecked(Session& session, const std::string& path)
    {
        const std::optional<std::string> text = session.readFile(path);
        if (!text)
            return { std::nullopt, usageFailure(session, "can't read " + path) };
        // The revision note is a comment, so it can be parsed too, and faults have the file's line numbers.
        const auto config = Config::parseClusterConfig(*text);
        if (!config) {
            printFaults(session, config.faults());
            return { std::nullopt, ExitCode::Invalid };
        }
        return { takeRevisionNote(*text), ExitCode::Success };
    }

    Result<json> readJson(Session& session, const std::string& target)
    {
        return jsonOf(session.client.call(HttpCall { .target = target }));
    }

    std::optional<uint64_t> parseNumber(const std::string& text)
    {
        uint64_t number = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
        const bool whole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() && !text.empty();
        return whole ? std::optional(number) : std::nullopt;
    }

    /// The revision in force; zero when there is none.
    Result<uint64_t> currentRevision(Session& session)
    {
        const Result<json> current = readJson(session, "/v1/config");
        if (current)
            return parseNumber(textMember(*current, "revision")).value_or(0);
        if (current.reason().code == ErrorCode::NoConfiguration)
            return uint64_t { 0 };
        return current.reason();
    }

    Result<uint64_t> chooseBase(Session& session, const NotedDocument& document)
    {
        const std::string& base = session.options.base;
        if (base == "current")
            return currentRevision(session);
        if (const auto number = parseNumber(base))
            return *number;
        if (base.empty() && document.base)
            return document.base->value;
        return Failure { .code = ErrorCode::MalformedRequest,
            .detail = "which revision was it edited from? Start from `config show`, or give --base REVISION, "
                      "--base 0 for the first document, or --base current" };
    }

    void printChanges(std::ostream& stream, const std::vector<Config::DocumentChange>& changes)
    {
        std::vector<std::vector<std::string>> rows;
        rows.reserve(changes.size());
        for (const Config::DocumentChange& change : changes)
            rows.push_back({ change.path, change.before, change.after });
        stream << renderTable({ "PATH", "IN FORCE", "FILE" }, rows);
    }

    std::vector<Config::DocumentChange> changesIn(const json& conflict)
    {
        std::vector<Config::DocumentChange> changes;
        for (const json& change : listMember(conflict, "difference"))
            changes.push_back(
                { textMember(change, "path"), textMember(change, "before"), textMember(change, "after") });
        return changes;
    }

    ExitCode reportRefusedChange(Session& session, const HttpReply& reply, const std::string& changeId)
    {
        const Failure failure = failureOf(reply);
        const json body = json::parse(reply.body, nullptr, false);
        if (session.options.json && body.is_object()) {
            printJson(session, body);
            return exitCodeOf(failure.code);
        }
        reportFailure(session, failure);
        if (failure.code == ErrorCode::RevisionConflict) {
            session.errors << "edited from revision " << textMember(body, "baseRevision") << ", in force is "
                           << textMember(body, "currentRevision") << ":\n";
            printChanges(session.errors, changesIn(body));
        }
        for (const json& fault : listMember(body, "faults"))
            session.errors << textMember(fault, "path") << ": " << textMember(fault, "kind") << "\n";
        if (exitCodeOf(failure.code) == ExitCode::Unknown)
            session.errors << "repeat with --change-id " << changeId << "\n";
        return exitCodeOf(failure.code);
    }

    std::vector<json> daemonsBehind(const json& status, uint64_t revision)
    {
        std::vector<json> behind;
        for (const json& daemon : listMember(status, "daemons")) {
            const uint64_t has = parseNumber(textMember(daemon, "revision")).value_or(0);
            if (boolMember(daemon, "live") && has < revision)
                behind.push_back(daemon);
        }
        return behind;
    }

    /// Waits until every live daemon has the revision or the wait has timed out. Returns the daemons that lack it.
    Result<std::vector<json>> waitInForce(Session& session, uint64_t revision)
    {
        const Common::MonotonicTime end = session.now() + session.options.timeout.value_or(inForceTimeout);
        while (true) {
            const Result<json> status = readJson(session, "/v1/config/status");
            const bool timedOut = session.now() >= end;
            if (status) {
                std::vector<json> behind = daemonsBehind(*status, revision);
                if (behind.empty() || timedOut)
                    return behind;
            } else if (timedOut) {
                return status.reason();
            }
            session.sleep(statusInterval);
        }
    }

    ExitCode reportInForce(Session& session, uint64_t revision)
    {
        const Result<std::vector<json>> behind = waitInForce(session, revision);
        if (!behind) {
            session.errors << "revision " << revision << " is accepted, but its status can't be read\n";
            reportFailure(session, behind.reason());
            return ExitCode::Incomplete;
        }
        json names = json::array();
        for (const json& daemon : *behind)
            names.push_back(textMember(daemon, "daemon"));
        if (session.options.json)
            printJson(session, json { { "revision", revision }, { "inForce", behind->empty() }, { "without", names } });
        else if (behind->empty())
            session.output << "revision " << revision << " is in force on every live daemon\n";
        else
            session.output << "revision " << revision << " is accepted, but not in force on:\n";
        if (!session.options.json) {
            for (const json& daemon : *behind)
                session.output << "  " << textMember(daemon, "daemon") << " (" << textMember(daemon, "domain")
                               << "), at revision " << textMember(daemon, "revision") << "\n";
        }
        return behind->empty() ? ExitCode::Success : ExitCode::Incomplete;
    }

    ExitCode submitChange(Session& session, const NotedDocument& document, uint64_t base)
    {
        const std::string changeId
            = session.options.changeId.empty() ? session.makeId("change") : session.options.changeId;
        const json body { { "baseRevision", base }, { "changeId", changeId }, { "author", session.options.author },
            { "document", document.text } };
        const Result<HttpReply> reply = session.client.call(HttpCall { .method = "POST",
            .target = "/v1/config",
            .headers = { { "Content-Type", "application/json" } },
            .body = body.dump(-1, ' ', false, json::error_handler_t::replace),
            .timeout = applyCallTimeout });
        if (!reply) {
            const ExitCode exitCode = failedCall(session, reply.reason());
            if (exitCode == ExitCode::Unknown)
                session.errors << "repeat with --change-id " << changeId << "\n";
            return exitCode;
        }
        const Result<json> accepted = jsonOf(reply);
        if (!accepted)
            return reportRefusedChange(session, *reply, changeId);
        return reportInForce(session, parseNumber(textMember(*accepted, "revision")).value_or(0));
    }

    ExitCode showDifference(Session& session, const std::string& current)
    {
        const std::optional<std::string> text = session.readFile(session.options.diff);
        if (!text)
            return usageFailure(session, "can't read " + session.options.diff);
        const std::vector<Config::DocumentChange> changes = Config::difference(current, *text);
        if (!session.options.json) {
            if (!changes.empty())
                printChanges(session.output, changes);
            return ExitCode::Success;
        }
        json list = json::array();
        for (const Config::DocumentChange& change : changes)
            list.push_back({ { "path", change.path }, { "before", change.before }, { "after", change.after } });
        printJson(session, json { { "difference", list } });
        return ExitCode::Success;
    }

    Result<json> findRevision(Session& session)
    {
        const int64_t wanted = session.options.revision;
        if (wanted == 0)
            return readJson(session, "/v1/config");
        constexpr int64_t maximumHistoryLimit = 1000;
        const Result<json> history
            = readJson(session, "/v1/config/history?limit=" + std::to_string(maximumHistoryLimit));
        if (!history)
            return history.reason();
        for (const json& entry : listMember(*history, "entries")) {
            if (textMember(entry, "revision") == std::to_string(wanted))
                return entry;
        }
        return Failure { .code = ErrorCode::NoConfiguration,
            .detail = "revision " + std::to_string(wanted) + " is not in the history" };
    }

    std::string acceptedAt(const json& entry)
    {
        const auto at = parseNumber(textMember(entry, "acceptedAtMs"));
        return at ? renderTime(static_cast<int64_t>(*at)) : "";
    }

} // namespace

ExitCode configCheck(Session& session)
{
    const CheckedFile file = readChecked(session, session.arguments.at(0));
    if (!file.document)
        return file.exitCode;
    if (session.options.json)
        printJson(session, json { { "faults", json::array() } });
    else
        session.output << session.arguments.at(0) << " has no faults\n";
    return ExitCode::Success;
}

ExitCode configApply(Session& session)
{
    const CheckedFile file = readChecked(session, session.arguments.at(0));
    if (!file.document)
        return file.exitCode;
    const Result<uint64_t> base = chooseBase(session, *file.document);
    if (!base && base.reason().code == ErrorCode::MalformedRequest)
        return usageFailure(session, base.reason().detail);
    if (!base)
        return failedRead(session, base.reason());
    return submitChange(session, *file.document, *base);
}

ExitCode configShow(Session& session)
{
    const Result<json> entry = findRevision(session);
    if (!entry)
        return failedRead(session, entry.reason());
    const std::string text = textMember(*entry, "document");
    if (!session.options.diff.empty())
        return showDifference(session, text);
    if (session.options.json) {
        printJson(session, *entry);
        return ExitCode::Success;
    }
    const Common::ConfigRevision revision { parseNumber(textMember(*entry, "revision")).value_or(0) };
    session.output << withRevisionNote(revision, text);
    return ExitCode::Success;
}

ExitCode configHistory(Session& session)
{
    const int64_t limit = session.options.limit > 0 ? session.options.limit : defaultHistoryLimit;
    const Result<json> history = readJson(session, "/v1/config/history?limit=" + std::to_string(limit));
    if (!history)
        return failedRead(session, history.reason());
    if (session.options.json) {
        printJson(session, *history);
        return ExitCode::Success;
    }
    std::vector<std::vector<std::string>> rows;
    for (const json& entry : listMember(*history, "entries"))
        rows.push_back({ textMember(entry, "revision"), acceptedAt(entry), textMember(entry, "author"),
            textMember(entry, "changeId") });
    session.output << renderTable({ "REVISION", "ACCEPTED (UTC)", "AUTHOR", "CHANGE" }, rows);
    return ExitCode::Success;
}

ExitCode configSettings(Session& session)
{
    session.output << Config::settingsPage();
    return ExitCode::Success;
}

ExitCode configStatus(Session& session)
{
    const Result<json> status = readJson(session, "/v1/config/status");
    if (!status)
        return failedRead(session, status.reason());
    const json daemons = listMember(*status, "daemons");
    const bool complete = std::all_of(daemons.begin(), daemons.end(),
        [](const json& daemon) { return boolMember(daemon, "current") || !boolMember(daemon, "live"); });
    const ExitCode exitCode = complete ? ExitCode::Success : ExitCode::Incomplete;
    if (session.options.json) {
        printJson(session, *status);
        return exitCode;
    }
    std::vector<std::vector<std::string>> rows;
    for (const json& daemon : daemons) {
        const std::string inForce = boolMember(daemon, "current") ? "yes" : "NO";
        rows.push_back({ textMember(daemon, "daemon"), textMember(daemon, "domain"), textMember(daemon, "address"),
            textMember(daemon, "revision"), inForce, boolMember(daemon, "live") ? "yes" : "NO" });
    }
    session.output << "latest revision: " << textMember(*status, "latest") << "\n"
                   << renderTable({ "DAEMON", "DOMAIN", "ADDRESS", "REVISION", "LATEST", "LIVE" }, rows);
    return exitCode;
}

} // namespace Cli
