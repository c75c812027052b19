// Defines LoadExchange, by which daemons tell each other what they have placed where.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <QHash>
#include <QSet>

#include <memory>

class QCborArray;

namespace cranberry {

class PeerDatagrams;
class PeerDirectory;
class RetryShare;
class TargetDirectory;
class TimerService;
class TimerSubscription;
struct Peer;

/// Engines report their load half a second late, and in that time many daemons would choose the
/// same one. So each daemon tells the others what it has at each engine, in datagrams: whole
/// figures and not changes, so that a lost one is mended by the next. They go to the daemons of
/// the same data centre, and to all in a small fleet; in a large one, one daemon of each data
/// centre tells the others the sum. Nothing depends on them but how well requests are spread.
/// Thread safety: only from the thread of the event loop.
class LoadExchange
{
public:
    /// Precondition: everything passed outlives the exchange.
    LoadExchange(TimerService &timers, PeerDirectory &peers, PeerDatagrams &datagrams,
                 TargetDirectory &targets, RetryShare &retries);
    ~LoadExchange();

    /// What this daemon has at @p target has changed; @p isMore: something was placed.
    void changed(const TargetId &target, bool isMore);

private:
    QCborArray loadsOf(const QSet<TargetId> &targets) const;
    QCborArray retryCounts();
    void send(const QCborArray &loads, const QCborArray &counts);
    void refresh();
    void tellOwners(const QSet<TargetId> &targets);
    void summarise();
    void takeSummary(const QCborArray &body);
    void takeSummaryRow(const VmId &speaker, const QCborArray &row);
    void takeLoad(const VmId &peer, const QCborArray &entry, bool isForeign);
    void take(const Peer &peer, const QCborArray &body);

    TimerService &m_timers;
    PeerDirectory &m_peers;
    PeerDatagrams &m_datagrams;
    TargetDirectory &m_targets;
    RetryShare &m_retries;
    QSet<TargetId> m_changed;
    MonotonicTime m_due;
    std::unique_ptr<TimerSubscription> m_soon;
    std::unique_ptr<TimerSubscription> m_refresh;
    std::unique_ptr<TimerSubscription> m_summary;
};

} // namespace cranberry
