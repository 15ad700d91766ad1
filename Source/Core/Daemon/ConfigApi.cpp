// Calls for the configuration.
#include "Daemon/ConfigApi.h"

#include "Daemon/Node.h"
#include "Daemon/RouteTable.h"

#include <nlohmann/json.hpp>

namespace Daemon {

using Common::ErrorCode;
using nlohmann::json;

namespace {

    constexpr uint64_t defaultHistoryLimit = 20;
    constexpr uint64_t maximumHistoryLimit = 200;
    constexpr Common::Duration applyRetryAfter = std::chrono::seconds(1);

    json documentToJson(const Config::ConfigDocument& document)
    {
        return json { { "revision", document.revision.value }, { "changeId", document.change.value() },
            { "author", document.author }, { "acceptedAtMs", document.acceptedAtMilliseconds },
            { "document", document.text } };
    }

    struct ApplyToHttp {
        Http::Response operator()(const Config::ChangeAccepted& accepted) const
        {
            return jsonResponse(200, { { "revision", accepted.revision.value } });
        }
        Http::Response operator()(const Config::ChangeConflict& conflict) const
        {
            json changes = json::array();
            for (const Config::DocumentChange& change : conflict.difference)
                changes.push_back({ { "path", change.path }, { "before", change.before }, { "after", change.after } });
            const json extraMembers { { "baseRevision", conflict.base.value },
                { "currentRevision", conflict.current.value }, { "difference", changes } };
            return failureResponse(
                { ErrorCode::RevisionConflict, "another change was accepted since the revision that was edited" },
                extraMembers);
        }
        Http::Response operator()(const Config::ChangeRejected& rejected) const
        {
            json faults = json::array();
            for (const Config::SettingFault& fault : rejected.faults) {
                faults.push_back({ { "kind", Config::faultKindName(fault.kind) }, { "path", fault.path },
                    { "found", fault.found }, { "allowed", fault.allowed }, { "nearest", fault.nearest },
                    { "line", fault.line }, { "column", fault.column } });
            }
            return failureResponse(
                { ErrorCode::InvalidConfiguration, "the document has faults" }, { { "faults", faults } });
        }
        Http::Response operator()(const Common::Failure& failure) const
        {
            Common::Failure withRetryTime = failure;
            if (!withRetryTime.retryAfter)
                withRetryTime.retryAfter = applyRetryAfter;
            return failureResponse(withRetryTime);
        }
    };

} // namespace

ConfigApi::ConfigApi(Node& node)
    : m_node(node)
{
}

void ConfigApi::addRoutes(RouteTable& routes)
{
    routes.add("GET", "/v1/config", [this](const ApiCall&, const ApiReply& reply) { show(reply); });
    routes.add("POST", "/v1/config", [this](const ApiCall& call, const ApiReply& reply) { apply(call, reply); });
    routes.add(
        "GET", "/v1/config/history", [this](const ApiCall& call, const ApiReply& reply) { history(call, reply); });
    routes.add("GET", "/v1/config/status", [this](const ApiCall&, const ApiReply& reply) { status(reply); });
}

void ConfigApi::show(const ApiReply& reply)
{
    if (const auto document = m_node.config().document())
        reply(jsonResponse(200, documentToJson(*document)));
    else
        reply(failureResponse({ ErrorCode::NoConfiguration, "no configuration is known yet" }));
}

void ConfigApi::apply(const ApiCall& call, const ApiReply& reply)
{
    const json body = parseBody(call.request);
    const std::string change = textMember(body, "changeId");
    const auto base = body.is_object() ? body.find("baseRevision") : body.end();
    if (change.empty() || base == body.end() || !base->is_number_unsigned()) {
        reply(failureResponse(
            { ErrorCode::MalformedRequest, "\"baseRevision\", \"changeId\" and \"document\" are needed" }));
        return;
    }
    m_node.config().apply(Common::ConfigRevision { base->get<uint64_t>() }, Common::ChangeId(change),
        textMember(body, "author"), textMember(body, "document"),
        [reply](const Config::ApplyOutcome& outcome) { reply(std::visit(ApplyToHttp {}, outcome)); });
}

void ConfigApi::history(const ApiCall& call, const ApiReply& reply)
{
    const uint64_t limit = std::min(queryNumber(call, "limit", defaultHistoryLimit), maximumHistoryLimit);
    m_node.config().history(limit, [reply](const Common::Result<std::vector<Config::ConfigDocument>>& documents) {
        if (!documents) {
            reply(failureResponse(documents.reason()));
            return;
        }
        json entries = json::array();
        for (const Config::ConfigDocument& document : *documents)
            entries.push_back(documentToJson(document));
        reply(jsonResponse(200, { { "entries", entries } }));
    });
}

void ConfigApi::status(const ApiReply& reply)
{
    const Config::ConfigStatus status = m_node.config().status();
    json daemons = json::array();
    for (const Config::ConfigStatus::Row& row : status.rows) {
        daemons.push_back({ { "daemon", row.daemon.id.value() }, { "domain", row.daemon.domain.value() },
            { "region", row.daemon.region.value() }, { "address", row.daemon.address },
            { "revision", row.daemon.configRevision.value }, { "live", row.live }, { "current", row.current } });
    }
    reply(jsonResponse(200, { { "latest", status.latest.value }, { "daemons", daemons } }));
}

} // namespace Daemon
