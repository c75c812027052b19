#pragma once

#include "base/Ids.h"
#include "relay/RatePermits.h"

#include <QList>

#include <functional>
#include <map>
#include <memory>

class QCborArray;

namespace cranberry {

class DataCentreHeads;
class PeerDatagrams;
class PeerDirectory;
class TargetLimits;
class TimerService;
class TimerSubscription;
struct LimitNews;
struct Peer;
struct PermitAnswer;
struct PermitAsk;

/// Lets the daemons keep the rate limits of targets together: announces limits to all daemons, and
/// hands out permits for the targets that this daemon owns. The owner of a target is chosen by
/// rendezvous hash among the daemons that this one exchanges messages with: all in a small fleet,
/// else those of the data centre. Datagrams may be lost; a daemon that gets no permit sends
/// nothing.
/// Thread safety: only from the thread of the event loop.
class LimitExchange
{
public:
    /// Precondition: everything passed outlives the exchange. @p isKnown returns whether a target
    /// exists.
    LimitExchange(TimerService &timers, PeerDirectory &peers, DataCentreHeads &heads,
                  PeerDatagrams &datagrams, TargetLimits &limits,
                  std::function<bool(const TargetId &)> isKnown);
    ~LimitExchange();

    /// Asks some of @p peers which limits they know, if this daemon has not asked before.
    void queryOnce(const QList<Peer> &peers);
    /// Requests per second that this daemon hands out for @p target as its owner; zero if it is
    /// not.
    double ownPart(const TargetId &target) const;
    qint64 permitsGranted() const { return m_permitsGranted; }

private:
    struct Owned {
        PermitBucket bucket;
        double part = 0;
    };

    QList<Peer> reachablePeers() const;
    VmId ownerOf(const TargetId &target, const QList<Peer> &reachable) const;
    void refresh();
    void sendNews(const QList<LimitNews> &news);
    void sendKnown(const Peer &peer);
    void ask(const PermitAsk &ask);
    PermitAnswer answerAsk(const PermitAsk &ask, const VmId &from);
    void handleMessage(const Peer &from, const QCborArray &body);

    TimerService &m_timers;
    PeerDirectory &m_peers;
    DataCentreHeads &m_heads;
    PeerDatagrams &m_datagrams;
    TargetLimits &m_limits;
    std::function<bool(const TargetId &)> m_isKnown;
    std::map<TargetId, Owned> m_owned;
    qint64 m_permitsGranted = 0;
    bool m_hasQueried = false;
    std::unique_ptr<TimerSubscription> m_refreshTimer;
};

} // namespace cranberry
