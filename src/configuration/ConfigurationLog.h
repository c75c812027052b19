// Defines how the accepted changes and the newest snapshot stand in the platform's service.
#pragma once

#include "configuration/ConfigurationChange.h"
#include "platformstore/KeyValue.h"

#include <QList>

#include <optional>

namespace cranberry {

/// The changes and the base record stand under this prefix, so that one listing or one watch
/// shows both as of one moment.
extern const QString ChangePrefix;
/// Key of the base record.
extern const QString BaseKey;
/// Parts of snapshots; apart from the changes, so that a watch does not carry them.
extern const QString SnapshotPrefix;

/// Names the newest snapshot and says which changes may have been trimmed.
///
/// The failure it guards against: a daemon that was paused since version n creates the key of
/// change n+1 after the true one was trimmed. The create-if-absent succeeds, and version n+1
/// would have two changes. It cannot hurt because changes up to `trimmed` do not count for any
/// reader, and because whoever creates a change reads this record afterwards: only if it does
/// not cover the change then, the key had never been trimmed before and its creation is the
/// acceptance. `trimmed` is written before the first key is removed, and only grows.
struct LogBase {
    /// Version of the newest snapshot; 0 if there is none.
    ConfigurationVersion snapshot;
    /// Tells the parts of this snapshot from those of another writer at the same version.
    QString snapshotId;
    int parts = 0;
    /// Changes up to this version may be gone.
    ConfigurationVersion trimmed;
    /// Revision of the record; 0 if there is none yet.
    Revision revision;
};

/// What a listing of ChangePrefix, or an answer of a watch on it, shows.
struct LogPage {
    /// Absent from an answer of a watch if it has not changed.
    std::optional<LogBase> base;
    /// In order of their version; trimmed ones that do not count may be among them.
    QList<ConfigurationChange> changes;
    /// Highest revision of any entry; a watch goes on from it.
    Revision highest;
};

/// "configuration/change/000000000042". Thread-safe.
QString changeKey(ConfigurationVersion version);
/// Key of part @p part, counted from 0, of the snapshot that @p base names. Thread-safe.
QString snapshotPartKey(const LogBase &base, int part);
/// The version of the snapshot that has the part @p key; 0 if it is no such key. Thread-safe.
ConfigurationVersion snapshotVersionOf(const QString &key);
/// The version of the change that @p key stands for; 0 if it is no such key. Thread-safe.
ConfigurationVersion changeVersionOf(const QString &key);

QByteArray encodeBase(const LogBase &base);
/// The record in @p entry; one without snapshot if the entry is absent or unreadable.
/// Thread-safe.
LogBase decodeBase(const KeyValue &entry);

/// Reads @p entries, which are in key order. Thread-safe.
LogPage readLogPage(const QList<KeyValue> &entries);

} // namespace cranberry
