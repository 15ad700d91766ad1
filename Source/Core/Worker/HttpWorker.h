// Calls to workers over HTTP.
#pragma once

#include "Scheduler/WorkerPort.h"

namespace Http {
class Client;
}

namespace Worker {

/// A failure is the worker's own if its answer has a known error code, and ProtocolError if the answer can't be read or
/// is for another task. ConnectFailed always means that the worker was not reached.
class HttpWorker final : public Scheduler::WorkerPort {
public:
    /// Syncs use `syncClient` alone, so that they never wait for a connection that requests hold.
    HttpWorker(Http::Client& client, Http::Client& syncClient)
        : m_client(client)
        , m_syncClient(syncClient)
    {
    }

    void sync(const std::string& address, const Scheduler::SyncRequest&, Common::Duration timeout,
        Common::Callback<Scheduler::WorkerReport>) override;
    void start(const std::string& address, const Scheduler::StartCommand&, Common::Callback<Common::Done>) override;
    void run(const std::string& address, const Scheduler::RunCommand&, Common::Callback<Scheduler::RunAnswer>) override;
    void control(const std::string& address, Scheduler::TaskControl, const std::vector<Common::TaskId>&,
        Common::Callback<Common::Done>) override;

private:
    Http::Client& m_client;
    Http::Client& m_syncClient;
};

} // namespace Worker
