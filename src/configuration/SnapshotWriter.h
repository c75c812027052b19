#pragma once

#include "configuration/CallbackGuard.h"
#include "configuration/ConfigurationLog.h"

#include <QByteArray>
#include <QList>

#include <functional>

namespace cranberry {

class KeyValueStore;

/// Changes between two snapshots.
inline constexpr qint64 SnapshotInterval = 64;
/// Maximum size of one part of a snapshot; values in the platform's service hold at most 1 MB.
inline constexpr qsizetype MaxSnapshotPartBytes = 500 * 1024;

/// @p document split into parts of at most @p partSize bytes; a single empty part if it is empty.
/// Precondition: @p partSize is positive. Thread-safe.
QList<QByteArray> snapshotParts(const QByteArray &document, qsizetype partSize);

/// Writes snapshots of the document and trims older changes. The parts are written first, then the
/// base record is replaced to name them, so that readers find a complete snapshot at any time.
/// Obsolete keys are removed afterwards, one at a time. A failure at any step leaves a consistent
/// log; the next snapshot removes the remaining keys.
/// Thread safety: only from the thread of the key-value store.
class SnapshotWriter
{
public:
    /// Precondition: @p platform outlives the writer.
    explicit SnapshotWriter(KeyValueStore &platform)
        : m_platform(platform)
    {
    }

    bool isBusy() const { return m_busy; }

    /// Writes @p document, UTF-8 JSON of version @p version, as the snapshot after the one named by
    /// @p base. Precondition: not busy, and @p version is greater than `base.snapshotVersion`.
    void write(ConfigurationVersion version, const QByteArray &document, const LogBase &base);

private:
    void writePart(int part);
    void swapBase();
    void removeObsoleteKeys();
    void listForRemoval(const QString &prefix,
                        std::function<void(const QList<KeyValue> &)> callback);
    void removeNextKey();

    KeyValueStore &m_platform;
    bool m_busy = false;
    LogBase m_previousBase;
    LogBase m_newBase;
    QList<QByteArray> m_parts;
    QList<KeyValue> m_keysToRemove;
    internal::CallbackGuard m_guard;
};

} // namespace cranberry
