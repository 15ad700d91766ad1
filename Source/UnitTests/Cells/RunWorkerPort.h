// Sends the orders of one process to the fake workers over the fake network.
#pragma once

#include "Cells/LateCalls.h"
#include "Cells/RunWorker.h"
#include "Cells/WorkerOrders.h"
#include "Fakes/FakeCall.h"

#include <map>
#include <string>

namespace CellTests {

class RunWorkerPort final : public Cells::WorkerOrders {
public:
    /// By address.
    using Directory = std::map<std::string, RunWorker*>;

    RunWorkerPort(Fakes::VirtualRuntime& world, Fakes::FakeNetwork& network, Fakes::FakeProcess& process,
        Directory& directory, std::string from, const uint64_t& latePerMille, LateCalls& lateCalls)
        : m_world(world)
        , m_network(network)
        , m_process(process)
        , m_directory(directory)
        , m_from(std::move(from))
        , m_latePerMille(latePerMille)
        , m_lateCalls(lateCalls)
    {
    }

    void start(const Cells::WorkerTarget& target, Cells::FencingToken token, const Cells::RunOrder& order,
        Common::WorkerTime until, Common::Callback<Cells::OrderAnswer> done) override
    {
        send<Cells::OrderAnswer>(
            target, orderTimeout,
            [token, order, until](
                RunWorker& worker, const RunWorker::Answer& answer) { worker.start(token, order, until, answer); },
            std::move(done));
    }
    void stop(const Cells::WorkerTarget& target, Cells::FencingToken token, const Jobs::TaskName& task,
        Common::AttemptNumber attempt, Common::Callback<Cells::OrderAnswer> done) override
    {
        send<Cells::OrderAnswer>(
            target, orderTimeout,
            [token, task, attempt](
                RunWorker& worker, const RunWorker::Answer& answer) { worker.stop(token, task, attempt, answer); },
            std::move(done));
    }
    void pace(const Cells::WorkerTarget& target, Cells::FencingToken, const Jobs::TaskName& task, Common::AttemptNumber,
        uint32_t percent, Common::Callback<Cells::OrderAnswer> done) override
    {
        send<Cells::OrderAnswer>(
            target, orderTimeout,
            [task, percent](RunWorker& worker, const RunWorker::Answer& answer) { worker.pace(task, percent, answer); },
            std::move(done));
    }
    void pollRuns(
        const Cells::WorkerTarget& target, const PollRequest& request, Common::Callback<Cells::RunReport> done) override
    {
        send<Cells::RunReport>(
            target, orderTimeout + request.wait + request.extraTime,
            [request](RunWorker& worker, const RunWorker::ReportAnswer& answer) { worker.pollRuns(request, answer); },
            std::move(done));
    }

private:
    static constexpr Common::Duration orderTimeout = std::chrono::milliseconds(600);

    template <typename T, typename Serve>
    void send(const Cells::WorkerTarget& target, Common::Duration timeout, Serve serve, Common::Callback<T> done)
    {
        const bool late = m_latePerMille > 0 && m_process.random()() % 1000 < m_latePerMille;
        const auto deliver
            = [this, id = target.id, address = target.address, serve, late](const Common::Callback<T>& answer) {
                  const auto found = m_directory.find(address);
                  if (found == m_directory.end())
                      return;
                  RunWorker* const worker = found->second;
                  if (worker->entry().id != id)
                      return;
                  if (!late) {
                      serve(*worker, answer);
                      return;
                  }
                  m_lateCalls.postpone(m_world, m_process.random(), *worker,
                      [serve](RunWorker& target) { serve(target, [](const Common::Result<T>&) {}); });
              };
        Fakes::callOver<T>(m_network, m_process, m_from, target.address, timeout, deliver, std::move(done),
            Fakes::Delivery::AtMostOnce);
    }

    Fakes::VirtualRuntime& m_world;
    Fakes::FakeNetwork& m_network;
    Fakes::FakeProcess& m_process;
    Directory& m_directory;
    std::string m_from;
    const uint64_t& m_latePerMille;
    LateCalls& m_lateCalls;
};

} // namespace CellTests
