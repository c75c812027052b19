#pragma once

#include "base/Ids.h"
#include "relay/ServiceReach.h"

#include <QHash>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace cranberry {

class HttpExchange;
class TargetClient;
class TargetDirectory;
class TimerService;
class TimerSubscription;
struct HttpRequest;

/// Finds out which services this daemon cannot reach, from the attempts of its requests and from
/// probes; see ServiceReach.
/// Thread safety: only from the thread of the event loop.
class ReachMonitor
{
public:
    /// Returns the request that probes a target of a service without running anything there.
    using ProbeRequest = std::function<HttpRequest(const ServiceId &service)>;
    using ChangedCallback = std::function<void()>;

    struct Counters {
        qint64 probes = 0;
        qint64 lost = 0;
        qint64 regained = 0;
    };

    /// Precondition: everything passed outlives the monitor.
    ReachMonitor(TimerService &timers, TargetClient &client, const TargetDirectory &targets,
                 ProbeRequest probeRequest);
    ~ReachMonitor();

    /// Called after a service has become unreachable or reachable.
    void onChanged(ChangedCallback callback) { m_changed = std::move(callback); }

    bool isUnreachable(const ServiceId &service) const;
    /// Sorted.
    QList<ServiceId> unreachable() const;

    /// Records a request that is sent to @p target, which is expected to answer within @p patience.
    void recordSent(const TargetId &target, Milliseconds patience);
    /// Records that @p target began to answer; @p isNewConnection: over a connection that was
    /// opened for it.
    void recordAnswer(const TargetId &target, bool isNewConnection);
    /// Records that an attempt ended without any answer.
    void recordNoAnswer(const TargetId &target, bool isNewConnection);
    /// Another daemon cannot reach @p service; the cause may affect this one too.
    void verify(const ServiceId &service);
    const Counters &counters() const { return m_counters; }

private:
    struct Probe;
    struct Service {
        ServiceReach reach;
        std::shared_ptr<Probe> probe;
    };

    ServiceId serviceOf(const TargetId &target) const;
    void check();
    void probe(const ServiceId &service, const char *trigger);
    void probeAnswered(const ServiceId &service, const TargetId &target);
    void probeEnded(const ServiceId &service);
    void answered(const ServiceId &service, const TargetId &target, bool isNewConnection);

    TimerService &m_timers;
    TargetClient &m_client;
    const TargetDirectory &m_targets;
    ProbeRequest m_probeRequest;
    ChangedCallback m_changed;
    Counters m_counters;
    std::map<ServiceId, Service> m_services;
    std::unique_ptr<TimerSubscription> m_checkTimer;
};

} // namespace cranberry
