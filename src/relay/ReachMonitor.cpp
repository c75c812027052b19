#include "relay/ReachMonitor.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/TargetCall.h"
#include "relay/TargetClient.h"
#include "relay/TargetDirectory.h"

#include <QRandomGenerator>

#include <algorithm>

namespace cranberry {

namespace {

constexpr Milliseconds CheckInterval{100};

qint64 millisecondsSince(MonotonicTime then, MonotonicTime now)
{
    return std::chrono::duration_cast<Milliseconds>(now - then).count();
}

TargetCall probeOf(const TargetRecord &target)
{
    return {target.entry.id, target.entry.endpoint, CallPurpose::ReachProbe};
}

/// Up to @p count random targets, those that are not suspected first.
QList<const TargetRecord *> chooseProbed(QList<const TargetRecord *> targets, int count,
                                         MonotonicTime now)
{
    std::shuffle(targets.begin(), targets.end(), *QRandomGenerator::global());
    std::stable_partition(targets.begin(), targets.end(),
                          [now](const TargetRecord *t) { return t->suspectUntil <= now; });
    targets.resize(std::min<qsizetype>(targets.size(), count));
    return targets;
}

} // namespace

struct ReachMonitor::Probe {
    const char *trigger = "";
    int pending = 0;
    int targets = 0;
    std::vector<std::unique_ptr<HttpExchange>> exchanges;
};

ReachMonitor::ReachMonitor(TimerService &timers, TargetClient &client,
                           const TargetDirectory &targets, ProbeRequest probeRequest)
    : m_timers(timers)
    , m_client(client)
    , m_targets(targets)
    , m_probeRequest(std::move(probeRequest))
    , m_changed([] {})
    , m_checkTimer(timers.every(CheckInterval, [this] { check(); }))
{
}

ReachMonitor::~ReachMonitor() = default;

bool ReachMonitor::isUnreachable(const ServiceId &service) const
{
    const auto known = m_services.find(service);
    return known != m_services.end() && known->second.reach.isUnreachable;
}

QList<ServiceId> ReachMonitor::unreachable() const
{
    QList<ServiceId> services;
    for (const auto &[id, service] : m_services) {
        if (service.reach.isUnreachable)
            services.append(id);
    }
    return services;
}

ServiceId ReachMonitor::serviceOf(const TargetId &target) const
{
    const TargetRecord *record = m_targets.find(target);
    return record ? record->entry.service : ServiceId();
}

void ReachMonitor::recordSent(const TargetId &target, Milliseconds patience)
{
    const ServiceId service = serviceOf(target);
    if (!service.isEmpty())
        recordRequest(m_services[service].reach, patience, m_timers.now());
}

void ReachMonitor::recordAnswer(const TargetId &target, bool isNewConnection)
{
    const ServiceId service = serviceOf(target);
    if (!service.isEmpty())
        answered(service, target, isNewConnection);
}

void ReachMonitor::answered(const ServiceId &service, const TargetId &target, bool isNewConnection)
{
    ServiceReach &reach = m_services[service].reach;
    const MonotonicTime lostAt = reach.changedAt;
    if (!recordReachAnswer(reach, isNewConnection, m_timers.now()))
        return;
    ++m_counters.regained;
    logEvent(LogLevel::Warning, EventId::ServiceReachable,
             {{"service", service.text()},
              {"target", target.text()},
              {"after_ms", QString::number(millisecondsSince(lostAt, m_timers.now()))}});
    m_changed();
}

void ReachMonitor::recordNoAnswer(const TargetId &target, bool isNewConnection)
{
    const ServiceId service = serviceOf(target);
    if (service.isEmpty())
        return;
    if (shouldProbeAfterFailure(m_services[service].reach, isNewConnection, m_timers.now()))
        probe(service, "failed_attempt");
}

void ReachMonitor::verify(const ServiceId &service)
{
    if (shouldVerify(m_services[service].reach, m_timers.now()))
        probe(service, "peer");
}

void ReachMonitor::check()
{
    QList<ServiceId> due;
    for (const auto &[id, service] : m_services) {
        if (isProbeDue(service.reach, m_timers.now()))
            due.append(id);
    }
    for (const ServiceId &service : std::as_const(due))
        probe(service, isUnreachable(service) ? "unreachable" : "silence");
}

void ReachMonitor::probe(const ServiceId &service, const char *trigger)
{
    Service &probed = m_services[service];
    // To end the state, one answer is enough.
    const int count = probed.reach.isUnreachable ? 1 : TargetsPerProbe;
    QList<const TargetRecord *> callable = m_targets.takingWork(service);
    callable.removeIf([this](const TargetRecord *t) { return !m_client.mayCall(probeOf(*t)); });
    const QList<const TargetRecord *> targets = chooseProbed(callable, count, m_timers.now());
    beginProbe(probed.reach, m_timers.now());
    if (targets.isEmpty()) {
        probed.reach.isProbing = false;
        return;
    }
    probed.probe = std::make_shared<Probe>();
    Probe &probe = *probed.probe;
    probe.trigger = trigger;
    probe.targets = probe.pending = int(targets.size());
    m_counters.probes += targets.size();
    HttpExchangeOptions options;
    options.connectTimeout = ProbeConnectTimeout;
    options.timeout = ProbeAnswerTimeout;
    options.keepConnection = true;
    for (const TargetRecord *target : targets) {
        HttpExchangeCallbacks callbacks;
        callbacks.headers = [this, service, id = target->entry.id](int, const HttpHeaders &) {
            probeAnswered(service, id);
        };
        callbacks.finished = [this, service](HttpExchangeEnd, const QString &) {
            probeEnded(service);
        };
        probe.exchanges.push_back(m_client.send(probeOf(*target), m_probeRequest(service), options,
                                                std::move(callbacks)));
    }
}

void ReachMonitor::probeAnswered(const ServiceId &service, const TargetId &target)
{
    answered(service, target, true);
}

void ReachMonitor::probeEnded(const ServiceId &service)
{
    Service &probed = m_services[service];
    if (--probed.probe->pending > 0)
        return;
    const std::shared_ptr<Probe> probe = std::move(probed.probe);
    const MonotonicTime now = m_timers.now();
    const qint64 sinceAnswer = millisecondsSince(probed.reach.answeredNewAt, now);
    if (!recordProbeFailed(probed.reach, now))
        return;
    ++m_counters.lost;
    logEvent(LogLevel::Warning, EventId::ServiceUnreachable,
             {{"service", service.text()},
              {"trigger", QLatin1String(probe->trigger)},
              {"probed", QString::number(probe->targets)},
              {"probe_ms", QString::number(millisecondsSince(probed.reach.probedAt, now))},
              {"last_new_answer_ms", QString::number(sinceAnswer)}});
    m_changed();
}

} // namespace cranberry
