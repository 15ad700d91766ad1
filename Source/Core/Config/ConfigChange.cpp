// Reads the current document, replaces it by compare-and-swap, and reads it back after a lost answer.
#include "Config/ConfigChange.h"

#include "Scheduler/Runtime.h"

namespace Config {

using Common::ErrorCode;
using Common::Failure;
using Common::Result;

ConfigChange::ConfigChange(Scheduler::Runtime& runtime, std::shared_ptr<ConfigStore> store,
    const ConfigServiceOptions& options, ConfigDocument document, DocumentHandler onDocument, ApplyCallback callback)
    : m_runtime(runtime)
    , m_store(std::move(store))
    , m_options(options)
    , m_document(std::move(document))
    , m_onDocument(std::move(onDocument))
    , m_callback(std::move(callback))
    , m_deadline(runtime.now() + options.applyTimeout)
{
}

Common::ConfigRevision ConfigChange::base() const { return Common::ConfigRevision { m_document.revision.value - 1 }; }

void ConfigChange::start() { readCurrent(); }

void ConfigChange::readCurrent()
{
    m_store->readCurrent([self = shared_from_this()](const Result<ConfigStore::Stored>& stored) {
        if (stored)
            self->checkCurrent(*stored);
        else
            self->retryOrFail(stored.reason());
    });
}

void ConfigChange::checkCurrent(const ConfigStore::Stored& stored)
{
    if (stored.document.revision.value > 0)
        m_onDocument(stored.document);
    if (stored.document.revision == m_document.revision && stored.document.change == m_document.change) {
        finishAccepted();
        return;
    }
    if (stored.document.revision == base()) {
        keepBaseInHistory(stored);
        return;
    }
    if (stored.document.revision > m_document.revision) {
        checkHistory(stored);
        return;
    }
    finishWithConflict(stored.document);
}

// The daemon that accepted the base may have stopped before it wrote the history entry. The entry must exist before
// the current document is replaced: other daemons read it to find out whether their change was accepted.
void ConfigChange::keepBaseInHistory(const ConfigStore::Stored& stored)
{
    if (base().value == 0) {
        write(stored.storeRevision);
        return;
    }
    const Common::StoreRevision expected = stored.storeRevision;
    m_store->writeHistory(stored.document, [self = shared_from_this(), expected](const Result<Common::Done>& done) {
        if (done)
            self->write(expected);
        else
            self->retryOrFail(done.reason());
    });
}

void ConfigChange::write(Common::StoreRevision expected)
{
    m_store->writeCurrent(
        expected, m_document, [self = shared_from_this()](const Result<Common::StoreRevision>& written) {
            if (written) {
                self->finishAccepted();
                return;
            }
            const ErrorCode code = written.reason().code;
            if (code == ErrorCode::RevisionConflict) {
                self->readCurrent();
                return;
            }
            if (code != ErrorCode::ConnectFailed)
                self->m_mayBeWritten = true;
            self->retryOrFail(written.reason());
        });
}

// Later revisions exist. The history entry of revision base + 1 shows whether that revision is this change.
void ConfigChange::checkHistory(const ConfigStore::Stored& current)
{
    const ConfigDocument currentDocument = current.document;
    m_store->readHistory(
        m_document.revision, [self = shared_from_this(), currentDocument](const Result<ConfigStore::Stored>& entry) {
            if (!entry) {
                self->retryOrFail(entry.reason());
                return;
            }
            if (entry->document.change == self->m_document.change) {
                self->finishAccepted();
                return;
            }
            const bool isEntryRemoved = entry->document.revision.value == 0;
            if (isEntryRemoved && self->m_mayBeWritten) {
                self->finish(Failure { .code = ErrorCode::OutcomeUnknown,
                    .detail = "later revisions exist and the history no longer holds the revision after the base" });
                return;
            }
            self->finishWithConflict(currentDocument);
        });
}

void ConfigChange::finishAccepted()
{
    m_onDocument(m_document);
    const Common::ConfigRevision revision = m_document.revision;
    // If this write fails, the next change writes the entry.
    m_store->writeHistory(m_document, [self = shared_from_this(), revision](const Result<Common::Done>&) {
        if (revision.value > self->m_options.historyKept)
            self->m_store->removeHistory(Common::ConfigRevision { revision.value - self->m_options.historyKept });
        self->finish(ChangeAccepted { revision });
    });
}

void ConfigChange::finishWithConflict(const ConfigDocument& current)
{
    finish(ChangeConflict { base(), current.revision, difference(current.text, m_document.text) });
}

void ConfigChange::retryOrFail(const Failure& failure)
{
    if (!m_mayBeWritten) {
        finish(Failure { .code = ErrorCode::StoreUnavailable, .detail = "nothing was written: " + failure.detail });
        return;
    }
    if (m_runtime.now() + m_options.storePause >= m_deadline) {
        finish(Failure { .code = ErrorCode::OutcomeUnknown,
            .detail = "no answer of the store shows whether the change was accepted: " + failure.detail });
        return;
    }
    m_runtime.schedule(m_options.storePause, [self = shared_from_this()] { self->readCurrent(); });
}

void ConfigChange::finish(ApplyOutcome outcome) { m_callback(std::move(outcome)); }

} // namespace Config
