#pragma once

#include "configuration/ConfigurationChange.h"
#include "platformstore/KeyValue.h"

#include <QList>

#include <optional>

namespace cranberry {

/// Key prefix of the accepted changes and the base record in the platform's key-value service.
/// Both share it, so that one listing or one watch returns a consistent view of both.
extern const QString ChangePrefix;
/// Key of the base record.
extern const QString BaseKey;
/// Key prefix of snapshot parts. It lies outside ChangePrefix, so that a watch of the changes does
/// not transfer them.
extern const QString SnapshotPrefix;

/// Base record of the change log: names the newest snapshot and states up to which version
/// changes may have been trimmed.
///
/// It prevents two changes with one version: a daemon that was paused at version n could create
/// the key of change n+1 after the accepted change n+1 has been trimmed, and the create-if-absent
/// would succeed. Readers therefore ignore changes up to `trimmedVersion`, and a daemon that has
/// created the key of a change reads this record afterwards. If the version of the change is
/// above `trimmedVersion` then, the key had never been trimmed before, and its creation means
/// acceptance. `trimmedVersion` is written before the first key is removed and never decreases.
struct LogBase {
    /// Version of the newest snapshot; 0 if there is none.
    ConfigurationVersion snapshotVersion;
    /// Distinguishes the parts of this snapshot from those that another writer created for the
    /// same version.
    QString snapshotId;
    int partCount = 0;
    /// Changes up to this version may have been removed.
    ConfigurationVersion trimmedVersion;
    /// Revision of the record's key; 0 if there is no record yet.
    Revision revision;
};

/// Decoded result of a listing or a watch of ChangePrefix.
struct LogPage {
    /// Absent from a watch result if the record has not changed.
    std::optional<LogBase> base;
    /// In order of version; may include changes up to `trimmedVersion`, which are to be ignored.
    QList<ConfigurationChange> changes;
    /// Highest revision of all entries; the next watch continues after it.
    Revision highestRevision;
};

/// Key of the change that leads to @p version, such as "configuration/change/000000000042".
/// Thread-safe.
QString changeKey(ConfigurationVersion version);
/// Key of the part with index @p part, from 0, of the snapshot named by @p base. Thread-safe.
QString snapshotPartKey(const LogBase &base, int part);
/// Version of the snapshot that the part with key @p key belongs to; 0 if @p key is not the key of
/// a snapshot part. Thread-safe.
ConfigurationVersion snapshotVersionOf(const QString &key);
/// Version of the change with key @p key; 0 if @p key is not the key of a change. Thread-safe.
ConfigurationVersion changeVersionOf(const QString &key);

QByteArray encodeBase(const LogBase &base);
/// Decodes the base record in @p entry. The result names no snapshot if the entry is absent or
/// malformed. Thread-safe.
LogBase decodeBase(const KeyValue &entry);

/// Decodes @p entries; malformed changes are left out. Precondition: @p entries are in key order.
/// Thread-safe.
LogPage readLogPage(const QList<KeyValue> &entries);

} // namespace cranberry
