// One daemon's request service with scripted workers and peers, under a virtual clock.
#pragma once

#include "Common/Metrics.h"
#include "Common/Timeline.h"
#include "Dispatch/ForwardPort.h"
#include "Dispatch/RequestService.h"
#include "Dispatch/ScriptedWorkers.h"
#include "Dispatch/WorkerPool.h"
#include "Fakes/FakeStore.h"
#include "Fakes/VirtualRuntime.h"
#include "Ledger/IntentService.h"
#include "Ledger/ShardOwners.h"
#include "Ledger/TestConfig.h"
#include "Ledger/TestMembership.h"
#include "Policy/AdmissionQueue.h"
#include "Policy/InterferenceModel.h"
#include "Policy/LinkBudget.h"
#include "Policy/Placement.h"
#include "Policy/Router.h"
#include "Policy/WorkerHealth.h"

#include <string>
#include <vector>

namespace DispatchTests {

/// Peers that answer forwards only when the test calls their callbacks.
class ScriptedPeers final : public Dispatch::ForwardPort {
public:
    struct Forward {
        std::string address;
        Dispatch::IncomingRequest request;
        Dispatch::OutcomeCallback callback;
    };

    void forward(const std::string& address, const Dispatch::IncomingRequest& request, Common::Duration,
        Dispatch::OutcomeCallback callback) override
    {
        forwards.push_back(Forward { address, request, std::move(callback) });
    }
    void cancel(const std::string&, const std::string& id) override { cancelled.push_back(id); }

    std::vector<Forward> forwards;
    std::vector<std::string> cancelled;
};

struct RequestWorld {
    explicit RequestWorld(int64_t slots = 2, int workerCount = 2)
        : runtime(7)
        , members("d1")
        , timeline("d1", 1000, [this] { return runtime.wallMilliseconds(); })
        , context { runtime, timeline, metrics }
        , placement({ .urgentReservePercent = 0 }, interference, health)
        , queue(Policy::AdmissionQueue::Settings {})
        , link(1e6, 1e6)
        , router({}, link)
        , shards(context, store.client("d1", runtime), members, settings)
        , intents(context, shards, settings)
        , pool(context, workers, workers, placement, health)
        , requests(context,
              { config, members, workers, pool, peers, shards, intents, queue, placement, health, router, link }, {})
    {
        addService("previews", "preview", true);
        addService("orders", "order", false);
        pool.start();
        requests.start();
        shards.start();
        for (int i = 0; i < workerCount; ++i)
            workers.add("w" + std::to_string(i), slots);
        runtime.advance(std::chrono::seconds(5));
    }

    void addService(const std::string& service, const std::string& profile, bool idempotent)
    {
        Scheduler::Profile made;
        made.name = Common::ProfileName(profile);
        made.idempotent = idempotent;
        made.maximumQueueTime = std::chrono::seconds(2);
        config.document->profiles[made.name] = made;
        config.document->services[Common::ServiceName(service)] = Scheduler::ServiceConfig {
            .name = Common::ServiceName(service), .profile = made.name, .resources = { .slots = 1 }
        };
    }
    void submit(const std::string& service, const std::string& id)
    {
        Dispatch::IncomingRequest request;
        request.id = Common::RequestId(id);
        request.service = Common::ServiceName(service);
        requests.submit(std::move(request),
            [this, id](const Dispatch::RequestOutcome& outcome) { outcomes.emplace_back(id, outcome); });
    }
    /// Submits an order and advances the clock until its intent is written.
    void submitOrder(const std::string& id)
    {
        submit("orders", id);
        runtime.advance(std::chrono::milliseconds(200));
    }
    const Dispatch::RequestOutcome& last() const { return outcomes.back().second; }
    Common::ErrorCode lastNotRun() const { return std::get<Dispatch::NotRun>(last()).reason.code; }
    Common::ErrorCode lastUnknown() const { return std::get<Dispatch::OutcomeUnknown>(last()).reason.code; }
    std::string lastAnswer() const { return std::get<Dispatch::Answered>(last()).body; }

    Fakes::VirtualRuntime runtime;
    Fakes::FakeStore store { runtime };
    LedgerTests::TestMembership members;
    LedgerTests::TestConfig config;
    Common::Timeline timeline;
    Common::Metrics metrics;
    Scheduler::ServiceContext context;
    Ledger::LedgerSettings settings;
    ScriptedWorkers workers;
    ScriptedPeers peers;
    Policy::InterferenceModel interference;
    Policy::WorkerHealth health;
    Policy::Placement placement;
    Policy::AdmissionQueue queue;
    Policy::LinkBudget link;
    Policy::Router router;
    Ledger::ShardOwners shards;
    Ledger::IntentService intents;
    Dispatch::WorkerPool pool;
    Dispatch::RequestService requests;
    std::vector<std::pair<std::string, Dispatch::RequestOutcome>> outcomes;
};

} // namespace DispatchTests
