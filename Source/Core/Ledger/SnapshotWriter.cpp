// Writes snapshot parts by compare-and-swap and checks the epoch of parts that it overwrites.
#include "Ledger/SnapshotWriter.h"

#include "Scheduler/Runtime.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Ledger {

namespace {

    using nlohmann::json;

    std::string headLine(uint64_t epoch, uint64_t upTo) { return json { { "e", epoch }, { "u", upTo } }.dump() + "\n"; }

    json headOf(const std::string& value) { return json::parse(value.substr(0, value.find('\n')), nullptr, false); }

} // namespace

SnapshotWriter::SnapshotWriter(
    const Scheduler::ServiceContext& context, Scheduler::StorePort& store, const LedgerSettings& settings)
    : m_context(context)
    , m_store(store)
    , m_settings(settings)
{
}

std::string SnapshotWriter::partKey(const std::string& prefix, uint32_t part)
{
    std::string digits = std::to_string(part);
    return prefix + std::string(digits.size() < 4 ? 4 - digits.size() : 0, '0') + digits;
}

std::optional<std::string> SnapshotWriter::recordsOf(const std::string& value, const SnapshotName& name)
{
    const json head = headOf(value);
    if (!head.is_object() || head.value("u", uint64_t { 0 }) != name.upTo)
        return std::nullopt;
    return value.substr(value.find('\n') + 1);
}

void SnapshotWriter::write(
    const std::string& prefix, uint64_t epoch, const SnapshotName& name, std::vector<std::string> parts, Done done)
{
    m_busy = true;
    m_prefix = prefix;
    m_epoch = epoch;
    m_values = std::move(parts);
    for (std::string& part : m_values)
        part.insert(0, headLine(epoch, name.upTo));
    m_part = 0;
    m_done = std::move(done);
    writeNextPart();
}

void SnapshotWriter::writeNextPart()
{
    if (m_part == m_values.size()) {
        finish(true);
        return;
    }
    const auto known = m_revisions.find(partKey(m_prefix, static_cast<uint32_t>(m_part)));
    if (known == m_revisions.end())
        readPart();
    else
        writePart(known->second);
}

void SnapshotWriter::readPart()
{
    m_store.get(partKey(m_prefix, static_cast<uint32_t>(m_part)),
        m_lifetime.guard([this](const auto& found) { onPartRead(found); }));
}

void SnapshotWriter::onPartRead(const Common::Result<std::optional<Scheduler::StoreValue>>& found)
{
    if (!found) {
        retryPart();
        return;
    }
    if (!found->has_value()) {
        writePart(Common::StoreRevision {});
        return;
    }
    const Scheduler::StoreValue& there = **found;
    const json head = headOf(there.value);
    if (head.is_object() && head.value("e", uint64_t { 0 }) > m_epoch) {
        finish(false);
        return;
    }
    // This is an earlier write whose answer was lost.
    if (there.value == m_values[m_part]) {
        onPartWritten(there.revision);
        return;
    }
    writePart(there.revision);
}

void SnapshotWriter::writePart(Common::StoreRevision expected)
{
    m_store.compareAndSwap(partKey(m_prefix, static_cast<uint32_t>(m_part)), expected, m_values[m_part], {},
        m_lifetime.guard([this](const Common::Result<Common::StoreRevision>& revision) {
            if (revision) {
                onPartWritten(*revision);
                return;
            }
            retryPart();
        }));
}

void SnapshotWriter::onPartWritten(Common::StoreRevision revision)
{
    m_revisions[partKey(m_prefix, static_cast<uint32_t>(m_part))] = revision;
    m_retryPause = {};
    ++m_part;
    writeNextPart();
}

void SnapshotWriter::retryPart()
{
    m_revisions.erase(partKey(m_prefix, static_cast<uint32_t>(m_part)));
    m_retryPause = std::clamp(m_retryPause * 2, m_settings.storeRetryMinimum, m_settings.storeRetryMaximum);
    m_context.runtime.schedule(m_retryPause, m_lifetime.guard([this] { readPart(); }));
}

void SnapshotWriter::finish(bool complete)
{
    m_busy = false;
    m_values.clear();
    const Done done = std::move(m_done);
    done(complete);
}

} // namespace Ledger
