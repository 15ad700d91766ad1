// A node's calls to checked workers over the fake network. Calls may be lost but are not duplicated, like HTTP over a
// connection.
#pragma once

#include "Fakes/FakeCall.h"
#include "Node/CheckedWorker.h"
#include "Scheduler/RunAnswer.h"
#include "Scheduler/RunCommand.h"
#include "Scheduler/WorkerPort.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace NodeTests {

class CheckedWorkerPort final : public Scheduler::WorkerPort {
public:
    /// Keyed by address, which is the worker's name.
    using Directory = std::map<std::string, CheckedWorker*>;

    CheckedWorkerPort(
        Fakes::FakeNetwork& network, Fakes::FakeProcess& process, const Directory& directory, std::string address)
        : m_network(network)
        , m_process(process)
        , m_directory(directory)
        , m_address(std::move(address))
    {
    }

    void sync(const std::string& address, const Scheduler::SyncRequest& request, Common::Duration timeout,
        Common::Callback<Scheduler::WorkerReport> done) override
    {
        Fakes::callOver<Scheduler::WorkerReport>(
            m_network, m_process, m_address, address, timeout,
            [worker = m_directory.at(address), request](
                const Common::Callback<Scheduler::WorkerReport>& answer) { answer(worker->state().sync(request)); },
            std::move(done), Fakes::Delivery::AtMostOnce);
    }
    void start(const std::string& address, const Scheduler::StartCommand& command,
        Common::Callback<Common::Done> done) override
    {
        Fakes::callOver<Common::Done>(
            m_network, m_process, m_address, address, callTimeout,
            [worker = m_directory.at(address), command](
                const Common::Callback<Common::Done>& answer) { answer(worker->state().start(command)); },
            std::move(done), Fakes::Delivery::AtMostOnce);
    }
    void run(const std::string& address, const Scheduler::RunCommand& command,
        Common::Callback<Scheduler::RunAnswer> done) override
    {
        Fakes::callOver<Scheduler::RunAnswer>(
            m_network, m_process, m_address, address, command.timeout,
            [worker = m_directory.at(address), command](
                const Common::Callback<Scheduler::RunAnswer>& answer) { runOnWorker(*worker, command, answer); },
            std::move(done), Fakes::Delivery::AtMostOnce);
    }
    void control(const std::string& address, Scheduler::TaskControl action, const std::vector<Common::TaskId>& tasks,
        Common::Callback<Common::Done> done) override
    {
        Fakes::callOver<Common::Done>(
            m_network, m_process, m_address, address, callTimeout,
            [worker = m_directory.at(address), action, tasks](const Common::Callback<Common::Done>& answer) {
                worker->state().control(action, tasks);
                answer(Common::Done {});
            },
            std::move(done), Fakes::Delivery::AtMostOnce);
    }

private:
    static constexpr Common::Duration callTimeout = std::chrono::seconds(2);

    static void runOnWorker(CheckedWorker& worker, const Scheduler::RunCommand& command,
        const Common::Callback<Scheduler::RunAnswer>& answer)
    {
        const auto work = StandIns::TaskWork::parse(command.body, 50).value_or(StandIns::TaskWork {});
        const auto ended = [answer, task = command.task, echo = work.echo.value_or("")](bool succeeded) {
            if (succeeded)
                answer(Scheduler::RunAnswer { task, "text/plain", echo });
            else
                answer(Common::Failure { Common::ErrorCode::ConnectionLost, "stopped", std::nullopt });
        };
        const auto started = worker.state().startRequest(
            { command.task, command.boot, command.startBy, command.declared }, work, ended);
        if (!started)
            answer(started.reason());
    }

    Fakes::FakeNetwork& m_network;
    Fakes::FakeProcess& m_process;
    const Directory& m_directory;
    std::string m_address;
};

} // namespace NodeTests
