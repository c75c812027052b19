// Defines TargetEntries, which turns entries of targets in the store into what a daemon knows.
#pragma once

#include "base/Ids.h"
#include "relay/RelayTarget.h"

#include <QHash>
#include <QString>

namespace cranberry {

class TargetDirectory;
struct RelayCounters;
struct StoreProtocol;

/// An entry stands under the name of a target, and each start of the target writes it anew: what
/// was known of the former start is not true of the new one. Entries of other writers stand there
/// too, and name no target to use.
/// Thread safety: only from the thread of the event loop.
class TargetEntries
{
public:
    /// Precondition: everything passed outlives the object.
    TargetEntries(const StoreProtocol &protocol, TargetDirectory &targets, RelayCounters &counters);

    /// The entry @p key was written.
    void put(const QString &key, const QByteArray &value);
    /// The entry @p key was removed.
    void removed(const QString &key);

private:
    struct Start {
        TargetId target;
        Incarnation incarnation;
    };

    void read(const QString &key, const RelayTarget &entry);
    void unreadable(const QString &key, const QString &detail);

    const StoreProtocol &m_protocol;
    TargetDirectory &m_targets;
    RelayCounters &m_counters;
    QHash<QString, Start> m_starts;
};

} // namespace cranberry
