#pragma once

#include "base/Ids.h"
#include "relay/RelayTarget.h"

#include <QHash>
#include <QString>

namespace cranberry {

class TargetDirectory;
struct RelayCounters;
struct StoreProtocol;

/// Applies the entries of targets in the store to the target directory. The key of an entry is the
/// name of a target, and each start of the target overwrites the entry: what was known of the
/// former start does not apply to the new one. Other writers may store entries there that name no
/// usable target.
/// Thread safety: only from the thread of the event loop.
class TargetEntries
{
public:
    /// Precondition: everything passed outlives the object.
    TargetEntries(const StoreProtocol &protocol, TargetDirectory &targets, RelayCounters &counters);

    /// Applies the entry that was written to @p key.
    void put(const QString &key, const QByteArray &value);
    /// Handles the removal of the entry @p key.
    void remove(const QString &key);

private:
    struct Start {
        TargetId target;
        Incarnation incarnation;
    };

    void apply(const QString &key, const RelayTarget &entry);
    void handleUnreadable(const QString &key, const QString &detail);

    const StoreProtocol &m_protocol;
    TargetDirectory &m_targets;
    RelayCounters &m_counters;
    QHash<QString, Start> m_starts;
};

} // namespace cranberry
