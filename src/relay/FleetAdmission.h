#pragma once

#include "admission/DemandRecorder.h"
#include "admission/FleetDemand.h"
#include "admission/ReturnPromises.h"
#include "admission/WorkspaceUsage.h"
#include "relay/AdmissionEstimate.h"
#include "relay/AdmissionSettings.h"
#include "relay/DemandExchange.h"

#include <array>
#include <functional>
#include <map>
#include <optional>

class QCborArray;

namespace cranberry {

class PeerDatagrams;
class PeerDirectory;
class TimerService;
struct DemandMessage;
struct Peer;

/// Decides which of the requests that compete for room goes next, over all daemons, and which
/// cannot be served in time. While nothing waits at any daemon, every request may be placed.
/// Thread safety: only from the thread of the event loop.
class FleetAdmission
{
public:
    /// A waiting request of this daemon.
    struct Waiting {
        ServiceId service;
        Urgency urgency;
        Work work;
    };
    struct Counters {
        /// By combined priority.
        std::map<int, qint64> rejected;
        std::array<qint64, ReturnKindCount> returned{};
        /// Requests that were left waiting for others although a target had room.
        qint64 held = 0;
        /// Requests placed out of turn, as others left the room unused.
        qint64 outOfTurn = 0;
        qint64 promises = 0;
    };
    /// Figures of one service for metrics.
    struct Figures {
        ServiceId service;
        DaemonDemand own;
        /// Room that requests at all daemons wait for, by combined priority.
        std::map<int, double> fleetWaiting;
        QList<WorkspaceRate> usage;
    };

    /// Precondition: everything passed outlives the object.
    FleetAdmission(TimerService &timers, const PeerDirectory &peers, PeerDatagrams &datagrams,
                   const AdmissionSettings &settings);
    ~FleetAdmission();

    const AdmissionSettings &settings() const { return m_settings; }
    /// Sets what returns the waiting requests of this daemon that could use room.
    void setWaiting(std::function<QList<Waiting>()> waiting) { m_waiting = std::move(waiting); }
    /// Sets what returns whether a service exists. Nothing that other daemons send of others is
    /// kept, as the senders choose the names.
    void setIsKnown(std::function<bool(const ServiceId &)> isKnown)
    {
        m_isKnown = std::move(isKnown);
    }
    /// Called when another daemon reports requests that wait for a service.
    void onDemand(std::function<void(const ServiceId &)> callback)
    {
        m_onDemand = std::move(callback);
    }
    /// Called after each report of another daemon.
    void onChanged(std::function<void()> callback) { m_onChanged = std::move(callback); }

    /// The level of a request of @p workspace with the combined priority @p priority now.
    int level(const ServiceId &service, const WorkspaceId &workspace, int priority) const;
    /// Records a request that arrives, and returns how it relates to an earlier rejection.
    ReturnKind recordArrival(const ServiceId &service, quint64 fingerprint,
                             Milliseconds callerTime);
    void recordPlaced(const ServiceId &service, const Urgency &urgency, const Work &work);
    /// Records what a request of @p workspace used; see WorkspaceUsage.
    void recordUse(const ServiceId &service, const WorkspaceId &workspace, double work);
    /// What waits at this daemon has changed.
    void waitingChanged(const ServiceId &service);

    /// The work at other daemons that goes before a request of @p urgency.
    Work workAhead(const ServiceId &service, const Urgency &urgency) const;
    /// Whether a request that takes @p work, and that a target could take, may be placed while @p
    /// ahead goes before it. @p room returns the room that targets have for requests of its size.
    /// @p leftSince: since when the request has left room to others; the caller resets it when no
    /// target has room.
    bool mayPlace(const Work &ahead, const Work &work, const std::function<double()> &room,
                  std::optional<MonotonicTime> &leftSince);
    /// When a request of @p urgency that takes @p work is placed. @p ownAhead: what goes before it
    /// at this daemon. @p limit: the time that it may wait.
    AdmissionEstimate estimate(const ServiceId &service, const Urgency &urgency,
                               const Work &ownAhead, const Work &work, Milliseconds limit) const;
    /// Rejects a request of @p level and returns the delay after which its caller should retry.
    /// @p work: its own. @p timeLeft: the rest of its objective.
    Milliseconds reject(const ServiceId &service, int level, const Work &work, quint64 fingerprint,
                        Milliseconds callerTime, Milliseconds timeLeft,
                        const AdmissionEstimate &estimate);
    /// The time until a caller that returned early was told to retry; zero if that is unknown.
    Milliseconds untilDue(const ServiceId &service, quint64 fingerprint) const;

    /// The rates and the use of this daemon, for messages that daemons repeat anyway.
    QCborArray rates();
    /// Takes the rates that @p peer sent.
    void receiveRates(const VmId &peer, const QCborArray &rows);
    /// Whether requests wait for @p service at any daemon.
    bool isBusy(const ServiceId &service) const;
    /// How long requests have been waiting for @p service without a break; zero if none wait.
    Milliseconds contendedFor(const ServiceId &service) const;
    const Counters &counters() const { return m_counters; }
    const DemandExchange::Counters &exchangeCounters() const { return m_exchange.counters(); }
    QList<Figures> figures();

private:
    struct Service {
        FleetDemand demand;
        DemandRecorder recorder;
        WorkspaceUsage usage;
        ReturnPromises promises;
        bool hasOwnWaiting = false;
        /// Since when requests wait at any daemon.
        std::optional<MonotonicTime> busySince;
        /// When the last report of requests that wait at another daemon expires.
        MonotonicTime reportsEnd;
    };

    QList<DemandReport> reports();
    void receive(const Peer &from, const DemandMessage &message);
    void updateBusy(Service &service);
    void dropOutdated(Service &service);
    DaemonDemand ownDemand(const ServiceId &id, const QList<Waiting> &waiting);

    TimerService &m_timers;
    const AdmissionSettings m_settings;
    std::function<QList<Waiting>()> m_waiting = [] { return QList<Waiting>(); };
    std::function<bool(const ServiceId &)> m_isKnown = [](const ServiceId &) { return true; };
    std::function<void(const ServiceId &)> m_onDemand = [](const ServiceId &) {};
    std::function<void()> m_onChanged = [] {};
    std::map<ServiceId, Service> m_services;
    Counters m_counters;
    DemandExchange m_exchange;
};

} // namespace cranberry
