// Alternates reads and long-poll watches of the current document.
#include "Config/ConfigWatcher.h"

#include "Scheduler/Runtime.h"

#include <algorithm>

namespace Config {

using Common::ErrorCode;
using Common::Result;

namespace {

    /// Minimum time between the starts of two watches that yield nothing, in case the store does not wait as requested.
    constexpr Common::Duration minimumWatchInterval = std::chrono::seconds(1);

} // namespace

ConfigWatcher::ConfigWatcher(Scheduler::Runtime& runtime, std::shared_ptr<ConfigStore> store,
    const ConfigServiceOptions& options, DocumentHandler onDocument)
    : m_runtime(runtime)
    , m_store(std::move(store))
    , m_options(options)
    , m_onDocument(std::move(onDocument))
{
}

void ConfigWatcher::setActive(bool active)
{
    if (active && !m_active)
        m_lastRead.reset();
    m_active = active;
    if (!m_busy)
        step();
}

void ConfigWatcher::step()
{
    m_busy = m_active;
    if (!m_active)
        return;
    const bool readDue = !m_lastRead || m_runtime.now() - *m_lastRead >= m_options.readInterval;
    if (readDue)
        read();
    else
        watch();
}

void ConfigWatcher::stepAfter(Common::Duration delay)
{
    m_runtime.schedule(delay, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->step();
    });
}

void ConfigWatcher::read()
{
    m_store->readCurrent([weak = weak_from_this()](const Result<ConfigStore::Stored>& stored) {
        const auto self = weak.lock();
        if (!self)
            return;
        if (!stored) {
            self->handleFailure(stored.reason());
            return;
        }
        self->m_lastRead = self->m_runtime.now();
        self->m_since = stored->storeRevision;
        if (stored->document.revision.value > 0)
            self->m_onDocument(stored->document);
        self->stepAfter({});
    });
}

void ConfigWatcher::watch()
{
    const auto receive
        = [weak = weak_from_this(), startedAt = m_runtime.now()](const Result<Scheduler::StoreChanges>& changes) {
              const auto self = weak.lock();
              if (!self)
                  return;
              if (changes)
                  self->handleChanges(*changes, startedAt);
              else
                  self->handleFailure(changes.reason());
          };
    m_store->watchCurrent(m_since, m_options.watchWait, m_options.watchGrace, receive);
}

void ConfigWatcher::handleFailure(const Common::Failure& failure)
{
    m_lastRead.reset();
    // A call that timed out needs no further pause: the wait for its answer was one.
    stepAfter(failure.code == ErrorCode::Timeout ? Common::Duration {} : m_options.storePause);
}

void ConfigWatcher::handleChanges(const Scheduler::StoreChanges& changes, Common::MonotonicTime startedAt)
{
    bool changed = false;
    for (const Scheduler::StoreValue& value : changes.written) {
        if (value.key != ConfigStore::currentKey() || value.revision <= m_since)
            continue;
        m_since = value.revision;
        changed = true;
        if (const Result<ConfigDocument> document = documentFromText(value.value))
            m_onDocument(*document);
    }
    if (changed) {
        stepAfter({});
        return;
    }
    const Common::MonotonicTime next = startedAt + minimumWatchInterval;
    stepAfter(std::max(Common::Duration {}, next - m_runtime.now()));
}

} // namespace Config
