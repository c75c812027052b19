// Defines LoadExchange, by which daemons tell each other what they have placed where.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <QHash>
#include <QList>
#include <QSet>

#include <functional>
#include <memory>

class QCborArray;

namespace cranberry {

class DataCentreHeads;
class PeerDatagrams;
class PeerDirectory;
class RelayRetryBudget;
class TargetDirectory;
class TimerService;
class TimerSubscription;
struct Peer;
struct PeerLoad;

/// Engines report their load half a second late, and in that time many daemons would choose the
/// same one. So each daemon tells the others what it has at each engine, in datagrams: whole
/// figures and not changes, so that a lost one is mended by the next. They go to all in a small
/// fleet. In a large one they go to the daemons of the same data centre; what is placed in another
/// one is told to its head, and the first head of each data centre tells the heads of the others
/// what is at its own engines. Heads pass on what they hear. Nothing depends on it but how well
/// requests are spread.
/// Thread safety: only from the thread of the event loop.
class LoadExchange
{
public:
    /// Tells whether a service has engines; plain services' loads are not shared.
    using HasEngine = std::function<bool(const ServiceId &service)>;

    /// Precondition: everything passed outlives the exchange.
    LoadExchange(TimerService &timers, PeerDirectory &peers, DataCentreHeads &heads,
                 PeerDatagrams &datagrams, TargetDirectory &targets, RelayRetryBudget &retries);
    ~LoadExchange();

    void setHasEngine(HasEngine hasEngine) { m_hasEngine = std::move(hasEngine); }
    /// Says to @p peers that this daemon is there.
    void sendHello(const QList<Peer> &peers);
    /// What this daemon has at @p target has changed; @p isMore: something was placed.
    void changed(const TargetId &target, bool isMore);

private:
    QCborArray loadsOf(const QSet<TargetId> &targets) const;
    QCborArray retryCounts();
    void refresh();
    void tell(const QSet<TargetId> &targets, const QCborArray &counts);
    void tellOwners(const QSet<TargetId> &targets);
    void summarise();
    void sendSummary(const DataCentreId &receiver, const QList<TargetId> &targets);
    void takeSummary(const Peer &from, const QCborArray &rows);
    void takeLoad(const VmId &origin, const DataCentreId &dataCentre, const QCborArray &row);
    void take(const Peer &peer, const QCborArray &body);

    TimerService &m_timers;
    PeerDirectory &m_peers;
    DataCentreHeads &m_heads;
    PeerDatagrams &m_datagrams;
    TargetDirectory &m_targets;
    RelayRetryBudget &m_retries;
    HasEngine m_hasEngine = [](const ServiceId &) { return true; };
    QSet<TargetId> m_changed;
    MonotonicTime m_due;
    std::unique_ptr<TimerSubscription> m_soon;
    std::unique_ptr<TimerSubscription> m_refresh;
    std::unique_ptr<TimerSubscription> m_summary;
};

} // namespace cranberry
