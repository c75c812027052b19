// Defines SnapshotWriter, which writes snapshots of the document and trims older changes.
#pragma once

#include "configuration/ConfigurationLog.h"
#include "configuration/LifeGuard.h"

#include <QByteArray>
#include <QList>

#include <functional>

namespace cranberry {

class KeyValueStore;

/// Changes between two snapshots.
inline constexpr qint64 SnapshotInterval = 64;
/// Largest part of a snapshot; the platform holds values up to 1 MB.
inline constexpr qsizetype SnapshotPartSize = 500 * 1024;

/// @p document cut into parts of at most @p partSize bytes; one empty part if it is empty.
/// Precondition: @p partSize is positive. Thread-safe.
QList<QByteArray> snapshotParts(const QByteArray &document, qsizetype partSize);

/// Writes the parts first and then swaps the base record to name them, so that a reader finds
/// a whole snapshot at any moment. Keys that are of no use any more are removed one at a time.
/// If it fails anywhere nothing is wrong: the next snapshot cleans up what is left.
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

    /// Writes @p document of @p version, as UTF-8 JSON, as the successor of @p base.
    /// Precondition: not busy; @p version is greater than that of the snapshot of @p base.
    void write(ConfigurationVersion version, const QByteArray &document, const LogBase &base);

private:
    void writePart(int part);
    void swapBase();
    void removeOld();
    void listForRemoval(const QString &prefix, std::function<void(const QList<KeyValue> &)> use);
    void removeNext();

    KeyValueStore &m_platform;
    bool m_busy = false;
    LogBase m_old;
    LogBase m_new;
    QList<QByteArray> m_parts;
    QList<KeyValue> m_removals;
    internal::LifeGuard m_guard;
};

} // namespace cranberry
