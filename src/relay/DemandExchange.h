#pragma once

#include "relay/DemandMessage.h"

#include <functional>
#include <memory>

namespace cranberry {

class PeerDatagrams;
class PeerDirectory;
class TimerService;
class TimerSubscription;
struct Peer;

/// Tells the other daemons what waits for room at this one, and the times at which rejected callers
/// were told to retry. Reports are totals and are repeated, so that a lost one misleads for
/// 150 to 400 ms. They go to all daemons of a small fleet, else to those of the data centre.
/// Nothing is sent while nothing waits anywhere. Thread safety: only from the thread of the event
/// loop.
class DemandExchange
{
public:
    using Reports = std::function<QList<DemandReport>()>;
    using Receive = std::function<void(const Peer &from, const DemandMessage &message)>;

    struct Counters {
        qint64 sent = 0;
        qint64 received = 0;
        qint64 unreadable = 0;
    };

    /// @p reports returns what is to be reported now, nothing if there is none. Precondition:
    /// everything passed outlives the exchange.
    DemandExchange(TimerService &timers, const PeerDirectory &peers, PeerDatagrams &datagrams,
                   Reports reports, Receive receive);
    ~DemandExchange();

    /// Reports soon, as what waits has changed, and repeats it until there is nothing to report.
    void changed();
    /// Tells the others of @p promise to a caller of @p service at once.
    void announce(const ServiceId &service, const ReturnPromise &promise);
    const Counters &counters() const { return m_counters; }

private:
    void sendReports();
    void send(const DemandMessage &message);
    Milliseconds interval() const;
    Milliseconds repeatInterval() const;

    TimerService &m_timers;
    const PeerDirectory &m_peers;
    PeerDatagrams &m_datagrams;
    Reports m_reports;
    bool m_hasReported = false;
    MonotonicTime m_sentAt;
    MonotonicTime m_due;
    Counters m_counters;
    std::unique_ptr<TimerSubscription> m_timer;
};

} // namespace cranberry
