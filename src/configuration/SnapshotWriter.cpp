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
    m_previousBase = base;
    m_parts = snapshotParts(document, MaxSnapshotPartBytes);
    m_newBase.snapshotVersion = version;
    m_newBase.snapshotId = QUuid::createUuid().toString(QUuid::Id128);
    m_newBase.partCount = int(m_parts.size());
    // Keeps the changes since the previous snapshot readable, for daemons slightly behind.
    m_newBase.trimmedVersion = base.snapshotVersion;
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
    m_platform.compareAndSwap(snapshotPartKey(m_newBase, part), Revision(), m_parts.at(part),
                              std::nullopt, m_guard.wrap(written));
}

void SnapshotWriter::swapBase()
{
    m_parts.clear();
    const auto swapped = [this](const SwapResult &result) {
        // If the answer is lost, it is unknown which snapshot the base record names, so nothing is
        // removed.
        if (result.outcome == SwapOutcome::Swapped)
            removeObsoleteKeys();
        else
            m_busy = false;
    };
    m_platform.compareAndSwap(BaseKey, m_previousBase.revision, encodeBase(m_newBase), std::nullopt,
                              m_guard.wrap(swapped));
}

void SnapshotWriter::removeObsoleteKeys()
{
    m_keysToRemove.clear();
    listForRemoval(ChangePrefix, [this](const QList<KeyValue> &changes) {
        for (const KeyValue &entry : changes) {
            const ConfigurationVersion version = changeVersionOf(entry.key);
            if (ConfigurationVersion() < version && version <= m_newBase.trimmedVersion)
                m_keysToRemove.append({entry.key, {}, entry.revision});
        }
        listForRemoval(SnapshotPrefix, [this](const QList<KeyValue> &parts) {
            // Keeps the parts of newer snapshots, which another daemon may be writing.
            for (const KeyValue &entry : parts) {
                if (snapshotVersionOf(entry.key) < m_newBase.snapshotVersion)
                    m_keysToRemove.append({entry.key, {}, entry.revision});
            }
            removeNextKey();
        });
    });
}

void SnapshotWriter::listForRemoval(const QString &prefix,
                                    std::function<void(const QList<KeyValue> &)> callback)
{
    m_platform.list(prefix,
                    m_guard.wrap([this, callback = std::move(callback)](
                                     const Result<QList<KeyValue>> &entries) {
                        if (entries.has_value())
                            callback(entries.value());
                        else
                            m_busy = false;
                    }));
}

void SnapshotWriter::removeNextKey()
{
    if (m_keysToRemove.isEmpty()) {
        m_busy = false;
        return;
    }
    const KeyValue entry = m_keysToRemove.takeFirst();
    const auto removed = [this](const SwapResult &result) {
        const bool isAnswered =
            result.outcome == SwapOutcome::Swapped || result.outcome == SwapOutcome::Conflict;
        if (!isAnswered)
            m_keysToRemove.clear();
        removeNextKey();
    };
    m_platform.remove(entry.key, entry.revision, m_guard.wrap(removed));
}

} // namespace cranberry
