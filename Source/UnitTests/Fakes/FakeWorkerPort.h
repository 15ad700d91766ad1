// A daemon's calls to fake workers over the fake network.
#pragma once

#include "Fakes/FakeCall.h"
#include "Fakes/FakeWorker.h"
#include "Scheduler/RunAnswer.h"
#include "Scheduler/RunCommand.h"
#include "Scheduler/WorkerPort.h"

#include <map>
#include <string>
#include <utility>

namespace Fakes {

class FakeWorkerPort final : public Scheduler::WorkerPort {
public:
    /// Keyed by address.
    using Directory = std::map<std::string, FakeWorker*>;

    FakeWorkerPort(FakeNetwork& network, FakeProcess& process, const Directory& directory, std::string address)
        : m_network(network)
        , m_process(process)
        , m_directory(directory)
        , m_address(std::move(address))
    {
    }

    void sync(const std::string& address, const Scheduler::SyncRequest& request, Common::Duration timeout,
        Common::Callback<Scheduler::WorkerReport> done) override
    {
        callWorker<Scheduler::WorkerReport>(
            address, timeout, [request](FakeWorker& worker) { return worker.sync(request); }, std::move(done));
    }
    void start(const std::string& address, const Scheduler::StartCommand& command,
        Common::Callback<Common::Done> done) override
    {
        callWorker<Common::Done>(
            address, startTimeout, [command](FakeWorker& worker) { return worker.start(command); }, std::move(done));
    }
    void run(const std::string&, const Scheduler::RunCommand&, Common::Callback<Scheduler::RunAnswer> done) override
    {
        done(Common::Failure { Common::ErrorCode::Internal, "not supported by this fake", std::nullopt });
    }
    void control(const std::string&, Scheduler::TaskControl, const std::vector<Common::TaskId>&,
        Common::Callback<Common::Done> done) override
    {
        done(Common::Failure { Common::ErrorCode::Internal, "not supported by this fake", std::nullopt });
    }

private:
    static constexpr Common::Duration startTimeout = std::chrono::seconds(2);

    template <typename Value>
    void callWorker(const std::string& address, Common::Duration timeout,
        std::function<Common::Result<Value>(FakeWorker&)> action, Common::Callback<Value> done)
    {
        const auto worker = m_directory.find(address);
        const auto serve = [worker = worker == m_directory.end() ? nullptr : worker->second, action](
                               const Common::Callback<Value>& answer) {
            if (worker)
                answer(action(*worker));
            else
                answer(Common::Failure { Common::ErrorCode::ConnectFailed, "no such worker", std::nullopt });
        };
        callOver<Value>(m_network, m_process, m_address, address, timeout, serve, std::move(done));
    }

    FakeNetwork& m_network;
    FakeProcess& m_process;
    const Directory& m_directory;
    std::string m_address;
};

} // namespace Fakes
