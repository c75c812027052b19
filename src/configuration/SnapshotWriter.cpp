#include "configuration/SnapshotWriter.h"

#include "platformstore/KeyValueStore.h"

#include <QUuid>

namespace cranberry {

QList<QByteArray> snapshotParts(const QByteArray &document, qsizetype partSize)
{
    QList<QByteArray> parts{document.left(partSize)};
    for (qsizetype at = partSize; at < document.size(); at += partSize)
        parts.append(document.mid(at, partSize));
    return parts;
}

void SnapshotWriter::write(ConfigurationVersion version, const QByteArray &document,
                           const LogBase &base)
{
    m_busy = true;
    m_old = base;
    m_parts = snapshotParts(document, SnapshotPartSize);
    m_new.snapshot = version;
    m_new.snapshotId = QUuid::createUuid().toString(QUuid::Id128);
    m_new.parts = int(m_parts.size());
    // The last interval stays readable, for daemons that are a little behind.
    m_new.trimmed = base.snapshot;
    writePart(0);
}

void SnapshotWriter::writePart(int part)
{
    const auto written = [this, part](const SwapResult &result) {
        if (result.outcome != SwapOutcome::Swapped)
            m_busy = false;
        else if (part + 1 < m_parts.size())
            writePart(part + 1);
        else
            swapBase();
    };
    m_platform.compareAndSwap(snapshotPartKey(m_new, part), Revision(), m_parts.at(part),
                              std::nullopt, m_guard.wrap(written));
}

void SnapshotWriter::swapBase()
{
    m_parts.clear();
    const auto swapped = [this](const SwapResult &result) {
        // After a lost answer it is not known which snapshot stands, so nothing is removed.
        if (result.outcome == SwapOutcome::Swapped)
            removeOld();
        else
            m_busy = false;
    };
    m_platform.compareAndSwap(BaseKey, m_old.revision, encodeBase(m_new), std::nullopt,
                              m_guard.wrap(swapped));
}

void SnapshotWriter::removeOld()
{
    m_removals.clear();
    listForRemoval(ChangePrefix, [this](const QList<KeyValue> &changes) {
        for (const KeyValue &entry : changes) {
            const ConfigurationVersion version = changeVersionOf(entry.key);
            if (ConfigurationVersion() < version && version <= m_new.trimmed)
                m_removals.append({entry.key, {}, entry.revision});
        }
        listForRemoval(SnapshotPrefix, [this](const QList<KeyValue> &parts) {
            // Another daemon may be writing the parts of a newer snapshot; those stay.
            for (const KeyValue &entry : parts) {
                if (snapshotVersionOf(entry.key) < m_new.snapshot)
                    m_removals.append({entry.key, {}, entry.revision});
            }
            removeNext();
        });
    });
}

void SnapshotWriter::listForRemoval(const QString &prefix,
                                    std::function<void(const QList<KeyValue> &)> use)
{
    m_platform.list(
        prefix, m_guard.wrap([this, use = std::move(use)](const Result<QList<KeyValue>> &entries) {
            if (entries.has_value())
                use(entries.value());
            else
                m_busy = false;
        }));
}

void SnapshotWriter::removeNext()
{
    if (m_removals.isEmpty()) {
        m_busy = false;
        return;
    }
    const KeyValue entry = m_removals.takeFirst();
    const auto removed = [this](const SwapResult &result) {
        const bool answered =
            result.outcome == SwapOutcome::Swapped || result.outcome == SwapOutcome::Conflict;
        if (!answered)
            m_removals.clear();
        removeNext();
    };
    m_platform.remove(entry.key, entry.revision, m_guard.wrap(removed));
}

} // namespace cranberry
