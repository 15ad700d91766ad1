// Writes the daemon's row under members/ and lists the rows of all daemons.
#include "Membership/SessionKeeper.h"

#include "Scheduler/StorePort.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Membership {

namespace {

    const std::string membersPrefix = "members/";

    /// True when the store may not have received the call, or did not answer it.
    bool isOutage(Common::ErrorCode code)
    {
        using Common::ErrorCode;
        return code == ErrorCode::StoreUnavailable || code == ErrorCode::Timeout || code == ErrorCode::ConnectFailed
            || code == ErrorCode::ConnectionLost || code == ErrorCode::Overloaded || code == ErrorCode::TruncatedAnswer;
    }

    /// Wraps a handler of the store's answer so that it does nothing once its owner is destroyed.
    template <typename Action> auto whileAlive(const std::shared_ptr<int>& lifetime, Action action)
    {
        return [weak = std::weak_ptr<int>(lifetime), action = std::move(action)](const auto& result) {
            if (weak.lock())
                action(result);
        };
    }

} // namespace

SessionKeeper::SessionKeeper(const Scheduler::ServiceContext& context, Scheduler::StorePort& store,
    const Scheduler::PeerInfo& self, const MembershipSettings& settings)
    : m_context(context)
    , m_store(store)
    , m_self(self)
    , m_settings(settings)
    , m_lifetime(std::make_shared<int>())
{
}

SessionKeeper::~SessionKeeper()
{
    m_context.runtime.cancel(m_renewTimer);
    m_context.runtime.cancel(m_listTimer);
}

void SessionKeeper::start(std::function<bool()> isLister, AddressReceiver receiver)
{
    m_isLister = std::move(isLister);
    m_receiver = std::move(receiver);
    requestLease();
    listMembers();
}

void SessionKeeper::stop()
{
    m_stopped = true;
    m_context.runtime.cancel(m_renewTimer);
    m_context.runtime.cancel(m_listTimer);
    if (m_revision.value)
        m_store.remove(key(), m_revision, [](const Common::Result<Common::Done>&) {});
}

void SessionKeeper::renew()
{
    if (m_lease.empty()) {
        requestLease();
        return;
    }
    if (!m_revision.value) {
        writeRow(Common::StoreRevision {});
        return;
    }
    m_store.renewLease(m_lease, whileAlive(m_lifetime, [this](const Common::Result<Common::Done>& result) {
        if (result) {
            scheduleRenewal(m_settings.renewInterval);
            return;
        }
        if (!isOutage(result.reason().code)) {
            // The lease has expired and the row with it.
            m_lease = Common::LeaseId();
            m_revision = Common::StoreRevision {};
        }
        scheduleRenewal(m_settings.retryInterval);
    }));
}

void SessionKeeper::requestLease()
{
    m_store.grantLease(
        m_settings.sessionTimeToLive, whileAlive(m_lifetime, [this](const Common::Result<Common::LeaseId>& lease) {
            if (!lease) {
                scheduleRenewal(m_settings.retryInterval);
                return;
            }
            m_lease = *lease;
            writeRow(Common::StoreRevision {});
        }));
}

void SessionKeeper::writeRow(Common::StoreRevision expected)
{
    if (m_stopped)
        return;
    const nlohmann::json row = { { "address", m_self.address }, { "region", m_self.region.value() } };
    m_store.compareAndSwap(key(), expected, row.dump(), m_lease,
        whileAlive(m_lifetime, [this](const Common::Result<Common::StoreRevision>& written) {
            if (written) {
                m_revision = *written;
                scheduleRenewal(m_settings.renewInterval);
                return;
            }
            if (written.reason().code == Common::ErrorCode::RevisionConflict) {
                resolveConflict();
                return;
            }
            // An expired lease may be the cause; requesting a new one is harmless otherwise.
            if (!isOutage(written.reason().code))
                m_lease = Common::LeaseId();
            scheduleRenewal(m_settings.retryInterval);
        }));
}

void SessionKeeper::resolveConflict()
{
    // Only this daemon writes its key, so an earlier write took effect although its answer was lost. Its lease may be
    // about to expire: the row is written again under the current one.
    m_store.get(
        key(), whileAlive(m_lifetime, [this](const Common::Result<std::optional<Scheduler::StoreValue>>& found) {
            if (!found || !*found) {
                scheduleRenewal(m_settings.retryInterval);
                return;
            }
            writeRow((*found)->revision);
        }));
}

void SessionKeeper::listMembers()
{
    scheduleList(m_listedOnce ? m_settings.listInterval : m_settings.retryInterval);
    if (m_listedOnce && !m_isLister())
        return;
    m_store.list(membersPrefix,
        whileAlive(m_lifetime, [this](const Common::Result<std::vector<Scheduler::StoreValue>>& members) {
            if (members)
                handleMembers(*members);
        }));
}

void SessionKeeper::handleMembers(const std::vector<Scheduler::StoreValue>& members)
{
    m_listedOnce = true;
    for (const Scheduler::StoreValue& member : members) {
        const nlohmann::json row = nlohmann::json::parse(member.value, nullptr, false);
        if (!row.is_object())
            continue;
        const auto address = row.find("address");
        if (address != row.end() && address->is_string())
            m_receiver(address->get<std::string>());
    }
}

void SessionKeeper::scheduleRenewal(Common::Duration delay)
{
    if (m_stopped)
        return;
    m_renewTimer = m_context.runtime.schedule(delay, [this] { renew(); });
}

void SessionKeeper::scheduleList(Common::Duration delay)
{
    if (m_stopped)
        return;
    m_listTimer = m_context.runtime.schedule(delay, [this] { listMembers(); });
}

std::string SessionKeeper::key() const { return membersPrefix + m_self.domain.value() + "/" + m_self.id.value(); }

} // namespace Membership
