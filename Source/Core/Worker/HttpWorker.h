// Workers over HTTP.
#pragma once

#include "Scheduler/WorkerPort.h"

namespace Http {
class Client;
}

namespace Worker {

class HttpWorker final : public Scheduler::WorkerPort {
public:
    /// Syncs go over connections of their own: they never wait behind requests for a free one.
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
