// Calls to the platform's key-value store and host list over HTTP.
#pragma once

#include "Scheduler/StorePort.h"

#include <string>

namespace Http {
class Client;
struct Request;
struct Response;
}

namespace Store {

/// Never repeats a call by itself. Failures besides those of the port: NoAuthority if a lease has expired, and
/// RequestTooLarge for a value over the platform's limit; in both cases nothing was written.
class HttpStore final : public Scheduler::StorePort {
public:
    struct Settings {
        /// "IP:port"
        std::string address;
        /// Timeout of each call; the wait of a watch is added to it.
        Common::Duration timeout = std::chrono::seconds(2);
    };

    /// The client must outlive the store.
    HttpStore(Http::Client&, Settings);

    void get(const std::string& key, Common::Callback<std::optional<Scheduler::StoreValue>>) override;
    void list(const std::string& prefix, Common::Callback<std::vector<Scheduler::StoreValue>>) override;
    void compareAndSwap(const std::string& key, Common::StoreRevision expected, std::string value,
        const Common::LeaseId&, Common::Callback<Common::StoreRevision>) override;
    void remove(const std::string& key, Common::StoreRevision expected, Common::Callback<Common::Done>) override;
    void watch(const std::string& prefix, Common::StoreRevision since, Common::Duration wait,
        Common::Callback<Scheduler::StoreChanges>) override;
    void grantLease(Common::Duration timeToLive, Common::Callback<Common::LeaseId>) override;
    void renewLease(const Common::LeaseId&, Common::Callback<Common::Done>) override;
    void listHosts(const Common::DomainId&, Common::Callback<std::vector<Scheduler::HostEntry>>) override;

private:
    void send(Http::Request, Common::Duration timeout, Common::Callback<Http::Response>);

    Http::Client& m_client;
    Settings m_settings;
};

} // namespace Store
