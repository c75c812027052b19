// Defines TargetNews, by which daemons tell each other what must be known at once of targets.
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

/// A target that leaves tells the store, and the store tells the daemons; one that has just lost
/// the store hears nothing for up to 1.5 s, which is most of the notice that an engine gives. So
/// whoever learns first of a leaving target tells the others. Copies of generations are told too:
/// they take the links of two engines one after another, and daemons that do not know of each
/// other's choose destinations whose links are taken.
/// In datagrams, which may be lost: nothing depends on them but how early streams move.
/// Thread safety: only from the thread of the event loop.
class TargetNews
{
public:
    /// Precondition: everything passed outlives the object.
    /// @p hearsOfTargets: the store, or those who watch it, tell every daemon what leaves.
    TargetNews(TimerService &timers, PeerDirectory &peers, DataCentreHeads &heads,
               PeerDatagrams &datagrams, TargetDirectory &targets,
               std::function<bool()> hearsOfTargets);
    ~TargetNews();

    /// This daemon learned that @p target leaves, not from a peer.
    void leaving(const TargetId &target);
    /// This daemon orders a copy.
    void copyOrdered(const TargetId &source, const TargetId &destination, Milliseconds duration);
    /// An engine refused the copy.
    void copyRefused(const TargetId &source, const TargetId &destination, Milliseconds duration);

private:
    void tellLeaving(const TargetId &target);
    void heardLeaving(const QCborArray &body);
    void heardCopy(const QCborArray &body);

    TimerService &m_timers;
    PeerDirectory &m_peers;
    DataCentreHeads &m_heads;
    std::function<bool()> m_hearsOfTargets;
    PeerDatagrams &m_datagrams;
    TargetDirectory &m_targets;
    /// Leaving targets that are about to be told.
    QHash<TargetId, std::shared_ptr<TimerSubscription>> m_toTell;
};

} // namespace cranberry
