#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <QHash>

#include <functional>
#include <memory>

class QCborArray;

namespace cranberry {

class DataCentreHeads;
class PeerDatagrams;
class PeerDirectory;
class TargetDirectory;
class TimerService;
class TimerSubscription;

/// Tells the other daemons about urgent changes of targets. A target that leaves tells the store,
/// and the store tells the daemons. A daemon that has just lost the store hears nothing for up to
/// 1.5 s, which is most of the notice that an engine gives. Therefore the daemon that first learns
/// of a leaving target tells the others. Copies of generations are announced as well: they use the
/// links of two engines one after another, and daemons that do not know of each other's copies
/// choose destinations whose links are in use. Announcements are sent in datagrams, which may be
/// lost: only how early streams move depends on them.
/// Thread safety: only from the thread of the event loop.
class TargetAnnouncements
{
public:
    /// Precondition: everything passed outlives the object. @p receivesTargetChanges returns
    /// whether the store, or the daemons that watch it, tell every daemon which targets leave.
    TargetAnnouncements(TimerService &timers, PeerDirectory &peers, DataCentreHeads &heads,
                        PeerDatagrams &datagrams, TargetDirectory &targets,
                        std::function<bool()> receivesTargetChanges);
    ~TargetAnnouncements();

    /// Announces that @p target leaves, after a short random delay. Precondition: this daemon did
    /// not learn it from a peer.
    void announceLeaving(const TargetId &target);
    /// Announces a copy that this daemon orders.
    void copyOrdered(const TargetId &source, const TargetId &destination, Milliseconds duration);
    /// Announces that an engine refused the copy.
    void copyRefused(const TargetId &source, const TargetId &destination, Milliseconds duration);

private:
    void sendLeaving(const TargetId &target);
    void handleLeaving(const QCborArray &body);
    void handleCopy(const QCborArray &body);

    TimerService &m_timers;
    PeerDirectory &m_peers;
    DataCentreHeads &m_heads;
    std::function<bool()> m_receivesTargetChanges;
    PeerDatagrams &m_datagrams;
    TargetDirectory &m_targets;
    /// Leaving targets whose announcement is pending.
    QHash<TargetId, std::shared_ptr<TimerSubscription>> m_pendingAnnouncements;
};

} // namespace cranberry
