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
class TargetDirectory;
class TimerService;
class TargetSpeeds;
class TimerSubscription;
struct Peer;
struct PeerLoad;

/// Sends the load that this daemon has placed at targets to the other daemons, and receives theirs.
/// Engines report their load half a second late, and in that time many daemons would choose the
/// same engine. Therefore each daemon sends its load at each engine to the others, in datagrams and
/// as totals instead of changes, so that the next datagram corrects a lost one. In a small fleet
/// they go to all daemons. In a large fleet they go to the daemons of the same data centre. Load at
/// an engine of another data centre is sent to the head there, and the first head of each data
/// centre sends the heads of the others the load at its own engines. Heads forward what they
/// receive. Only the balance of requests depends on these messages.
/// Thread safety: only from the thread of the event loop.
class LoadExchange
{
public:
    /// Returns whether a service has engines.
    using HasEngine = std::function<bool(const ServiceId &service)>;
    /// Returns whether requests of all daemons compete for the room of a service. The load of a
    /// plain service is shared only then, and that of engines sooner.
    using IsContended = std::function<bool(const ServiceId &service)>;

    /// Precondition: everything passed outlives the exchange.
    LoadExchange(TimerService &timers, PeerDirectory &peers, DataCentreHeads &heads,
                 PeerDatagrams &datagrams, TargetDirectory &targets, TargetSpeeds &speeds);
    ~LoadExchange();

    void setHasEngine(HasEngine hasEngine) { m_hasEngine = std::move(hasEngine); }
    /// Sets what is sent with the loads that are repeated, and what receives it.
    void setRates(std::function<QCborArray()> rates,
                  std::function<void(const VmId &, const QCborArray &)> receive);
    void setIsContended(IsContended isContended) { m_isContended = std::move(isContended); }
    /// Sends the load of this daemon at all targets of @p service, which requests compete for now.
    void sendLoadsOf(const ServiceId &service);
    /// Announces this daemon to @p peers.
    void sendHello(const QList<Peer> &peers);
    /// Handles a change of this daemon's load at @p target. @p isIncrease: something was placed.
    void handleLoadChange(const TargetId &target, bool isIncrease);

private:
    bool isShared(const ServiceId &service) const;
    QCborArray loadsOf(const QSet<TargetId> &targets) const;
    void refresh();
    void sendLoads(const QSet<TargetId> &targets);
    void sendObservations(const QCborArray &loads);
    /// Repeats the load at targets of contended services.
    void refreshContended();
    void sendToOwners(const QSet<TargetId> &targets);
    void summarise();
    void sendSummary(const DataCentreId &receiver, const QList<TargetId> &targets);
    void applySummary(const Peer &from, const QCborArray &rows);
    void applyLoad(const VmId &origin, const DataCentreId &dataCentre, const QCborArray &row);
    void handleLoads(const Peer &peer, const QCborArray &body);

    TimerService &m_timers;
    PeerDirectory &m_peers;
    DataCentreHeads &m_heads;
    PeerDatagrams &m_datagrams;
    TargetDirectory &m_targets;
    TargetSpeeds &m_speeds;
    HasEngine m_hasEngine = [](const ServiceId &) { return true; };
    std::function<QCborArray()> m_rates;
    std::function<void(const VmId &, const QCborArray &)> m_receiveRates;
    IsContended m_isContended = [](const ServiceId &) { return false; };
    QSet<TargetId> m_changed;
    MonotonicTime m_due;
    std::unique_ptr<TimerSubscription> m_sendTimer;
    std::unique_ptr<TimerSubscription> m_refreshTimer;
    std::unique_ptr<TimerSubscription> m_contendedTimer;
    std::unique_ptr<TimerSubscription> m_summaryTimer;
};

} // namespace cranberry
