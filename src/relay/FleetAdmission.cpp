#include "relay/FleetAdmission.h"

#include "base/TimerService.h"
#include "relay/Peer.h"
#include "relay/PeerDirectory.h"

#include <QCborArray>
#include <QRandomGenerator>

#include <algorithm>
#include <tuple>

namespace cranberry {

namespace {

/// Bounds the size of a scrape.
constexpr int MaxUsageFigures = 100;

/// Groups waiting requests by level and kind of return, most urgent first.
QList<WaitingWork> grouped(const ServiceId &service, const QList<FleetAdmission::Waiting> &waiting)
{
    std::map<std::tuple<int, ReturnKind, bool>, WaitingWork> groups;
    for (const FleetAdmission::Waiting &request : waiting) {
        if (request.service != service)
            continue;
        const Urgency &urgency = request.urgency;
        WaitingWork &group = groups[{urgency.level, urgency.returns, urgency.isBrief}];
        group.level = urgency.level;
        group.returns = urgency.returns;
        group.isBrief = urgency.isBrief;
        group.oldest =
            group.requests == 0 ? urgency.arrived : std::min(group.oldest, urgency.arrived);
        ++group.requests;
        group.work = group.work + request.work;
    }
    QList<WaitingWork> list;
    for (const auto &[key, group] : groups)
        list.append(group);
    return list;
}

} // namespace

FleetAdmission::FleetAdmission(TimerService &timers, const PeerDirectory &peers,
                               PeerDatagrams &datagrams, const AdmissionSettings &settings)
    : m_timers(timers)
    , m_settings(settings)
    , m_exchange(
          timers, peers, datagrams, [this] { return reports(); },
          [this](const Peer &from, const DemandMessage &message) { receive(from, message); })
{
}

FleetAdmission::~FleetAdmission() = default;

int FleetAdmission::level(const ServiceId &service, const WorkspaceId &workspace,
                          int priority) const
{
    const auto known = m_services.find(service);
    if (!m_settings.workspaceShares || known == m_services.end() || !isBusy(service))
        return urgencyLevel(priority, 0);
    return urgencyLevel(
        priority, overuseLevel(known->second.usage, workspace, m_settings.weights, m_timers.now()));
}

ReturnKind FleetAdmission::recordArrival(const ServiceId &service, quint64 fingerprint,
                                         Milliseconds callerTime)
{
    const MonotonicTime now = m_timers.now();
    Service &known = m_services[service];
    const ReturnKind kind = takePromise(known.promises, fingerprint, callerTime, now);
    ++m_counters.returned[std::size_t(kind)];
    return kind;
}

void FleetAdmission::recordPlaced(const ServiceId &service, const Urgency &urgency,
                                  const Work &work)
{
    Service &known = m_services[service];
    updateBusy(known);
    cranberry::recordPlaced(known.recorder, urgency, work.roomSeconds, m_timers.now());
}

void FleetAdmission::recordUse(const ServiceId &service, const WorkspaceId &workspace, double work)
{
    if (!workspace.isEmpty())
        cranberry::recordUse(m_services[service].usage, workspace, work, m_timers.now());
}

void FleetAdmission::waitingChanged(const ServiceId &service)
{
    if (!m_settings.order)
        return;
    Service &known = m_services[service];
    const QList<Waiting> waiting = m_waiting();
    known.hasOwnWaiting = std::any_of(waiting.begin(), waiting.end(), [&](const Waiting &request) {
        return request.service == service;
    });
    updateBusy(known);
    m_exchange.changed();
}

bool FleetAdmission::isBusy(const ServiceId &service) const
{
    const auto known = m_services.find(service);
    return known != m_services.end()
        && (known->second.hasOwnWaiting || hasWaiting(known->second.demand, m_timers.now()));
}

void FleetAdmission::updateBusy(Service &service)
{
    const MonotonicTime now = m_timers.now();
    const bool isBusy = service.hasOwnWaiting || hasWaiting(service.demand, now);
    // Reports expire without an event; the time since then was not busy.
    const MonotonicTime until = isBusy
        ? now
        : std::clamp(service.reportsEnd, service.recorder.updatedAt.value_or(now), now);
    recordBusy(service.recorder, isBusy, until);
    if (!isBusy)
        service.busySince.reset();
    else if (!service.busySince)
        service.busySince = now;
}

Milliseconds FleetAdmission::contendedFor(const ServiceId &service) const
{
    const auto known = m_services.find(service);
    if (!isBusy(service) || !known->second.busySince)
        return Milliseconds(0);
    return std::chrono::duration_cast<Milliseconds>(m_timers.now() - *known->second.busySince);
}

Work FleetAdmission::workAhead(const ServiceId &service, const Urgency &urgency) const
{
    const auto known = m_services.find(service);
    return known == m_services.end()
        ? Work()
        : cranberry::workAhead(known->second.demand, urgency, m_timers.now());
}

bool FleetAdmission::mayPlace(const Work &ahead, const Work &work,
                              const std::function<double()> &room,
                              std::optional<MonotonicTime> &leftSince)
{
    if (!m_settings.order || ahead.room <= 0)
        return true;
    const MonotonicTime now = m_timers.now();
    // The target that could take the request may be one whose room is not counted.
    const double free = std::max(room(), work.room);
    const auto idle = std::chrono::duration_cast<Milliseconds>(now - leftSince.value_or(now));
    if (!mayTakeRoom(free, ahead.room, work.room, idle)) {
        if (!leftSince)
            leftSince = now;
        ++m_counters.held;
        return false;
    }
    if (free < ahead.room + work.room)
        ++m_counters.outOfTurn;
    leftSince.reset();
    return true;
}

AdmissionEstimate FleetAdmission::estimate(const ServiceId &service, const Urgency &urgency,
                                           const Work &ownAhead, const Work &work,
                                           Milliseconds limit) const
{
    AdmissionEstimate estimate;
    estimate.ahead = ownAhead;
    const auto known = m_services.find(service);
    if (known == m_services.end())
        return estimate;
    const MonotonicTime now = m_timers.now();
    FleetDemand demand = known->second.demand;
    DemandRecorder recorder = known->second.recorder;
    setRates(demand.own, recorder, now);
    estimate.ahead = estimate.ahead + cranberry::workAhead(demand, urgency, now);
    if (urgency.returns == ReturnKind::New)
        estimate.ahead.roomSeconds +=
            promisedWork(known->second.promises, urgency.level, now, now + limit);
    estimate.placedPerSecond = cranberry::placedPerSecond(demand, urgency, now);
    estimate.wait =
        expectedWait(demand, urgency, estimate.ahead.roomSeconds + work.roomSeconds, now);
    for (const DaemonDemand &peer : std::as_const(demand.peers)) {
        const auto age = std::chrono::duration_cast<Milliseconds>(now - peer.ratesAt);
        if (age > RateTimeout)
            continue;
        ++estimate.heard;
        estimate.oldestReport = std::max(estimate.oldestReport, age);
    }
    return estimate;
}

Milliseconds FleetAdmission::reject(const ServiceId &service, int level, const Work &work,
                                    quint64 fingerprint, Milliseconds callerTime,
                                    Milliseconds timeLeft, const AdmissionEstimate &estimate)
{
    ++m_counters.rejected[level / LevelsPerPriority];
    const MonotonicTime now = m_timers.now();
    ReturnPromises &promises = m_services[service].promises;
    const double before =
        estimate.ahead.roomSeconds + promisedWork(promises, level, now, MonotonicTime::max());
    ReturnPromise promise;
    promise.fingerprint = fingerprint;
    promise.callerTime = callerTime;
    promise.level = level;
    promise.roomSeconds = work.roomSeconds;
    const Milliseconds delay =
        returnDelay(before + work.roomSeconds, estimate.placedPerSecond.value_or(0),
                    QRandomGenerator::global()->generateDouble());
    promise.due = now + delay;
    // Room that is kept for an answer that is late anyway would make others late as well.
    promise.isFirm = estimate.placedPerSecond && isKept(delay, callerTime) && delay <= timeLeft;
    m_counters.promises += promise.isFirm ? 1 : 0;
    addPromise(promises, promise, now);
    m_exchange.announce(service, promise);
    return delay;
}

Milliseconds FleetAdmission::untilDue(const ServiceId &service, quint64 fingerprint) const
{
    const auto known = m_services.find(service);
    return known == m_services.end()
        ? Milliseconds(0)
        : cranberry::untilDue(known->second.promises, fingerprint, m_timers.now());
}

DaemonDemand FleetAdmission::ownDemand(const ServiceId &id, const QList<Waiting> &waiting)
{
    DaemonDemand demand;
    demand.waiting = grouped(id, waiting);
    setRates(demand, m_services[id].recorder, m_timers.now());
    return demand;
}

QList<DemandReport> FleetAdmission::reports()
{
    const MonotonicTime now = m_timers.now();
    const QList<Waiting> waiting = m_waiting();
    QList<DemandReport> reports;
    for (auto &[id, service] : m_services) {
        DemandReport report{id, ownDemand(id, waiting), {}};
        service.hasOwnWaiting = !report.demand.waiting.isEmpty();
        updateBusy(service);
        report.usage = ownRates(service.usage, int(MaxReportedWorkspaces), now);
        if (service.hasOwnWaiting)
            reports.append(report);
    }
    return reports;
}

void FleetAdmission::receive(const Peer &from, const DemandMessage &message)
{
    const MonotonicTime now = m_timers.now();
    if (!message.promises.isEmpty()) {
        if (m_isKnown(message.service)) {
            for (const ReturnPromise &promise : message.promises)
                addPromise(m_services[message.service].promises, promise, now);
        }
        return;
    }
    for (auto &[id, service] : m_services) {
        const bool isReported = std::any_of(
            message.reports.begin(), message.reports.end(),
            [&reported = id](const DemandReport &report) { return report.service == reported; });
        const auto peer = service.demand.peers.find(from.vm);
        if (!isReported && peer != service.demand.peers.end()) {
            peer->waiting.clear();
            updateBusy(service);
        }
    }
    for (const DemandReport &report : message.reports) {
        if (!m_isKnown(report.service))
            continue;
        Service &service = m_services[report.service];
        if (!service.demand.peers.contains(from.vm))
            dropOutdated(service);
        DaemonDemand &peer = service.demand.peers[from.vm];
        peer.waiting = report.demand.waiting;
        peer.reportedAt = now;
        setReported(service.usage, from.vm, report.usage, now);
        if (!report.demand.waiting.isEmpty())
            service.reportsEnd = now + DemandTimeout;
        updateBusy(service);
        if (!report.demand.waiting.isEmpty())
            m_onDemand(report.service);
    }
    m_onChanged();
}

QCborArray FleetAdmission::rates()
{
    const MonotonicTime now = m_timers.now();
    QList<DemandReport> reports;
    for (auto &[id, service] : m_services) {
        updateBusy(service);
        DemandReport report{id, {}, ownRates(service.usage, int(MaxReportedWorkspaces), now)};
        setRates(report.demand, service.recorder, now);
        if (report.demand.placements > 0 || !report.usage.isEmpty())
            reports.append(report);
    }
    return encodeRates(reports);
}

void FleetAdmission::receiveRates(const VmId &peer, const QCborArray &rows)
{
    const MonotonicTime now = m_timers.now();
    for (const DemandReport &report : decodeRates(rows)) {
        if (!m_isKnown(report.service))
            continue;
        Service &service = m_services[report.service];
        DaemonDemand &demand = service.demand.peers[peer];
        demand.placed = report.demand.placed;
        demand.placements = report.demand.placements;
        demand.ratesAt = now;
        setReported(service.usage, peer, report.usage, now);
    }
    for (auto &[id, service] : m_services)
        dropOutdated(service);
}

void FleetAdmission::dropOutdated(Service &service)
{
    const MonotonicTime now = m_timers.now();
    service.demand.peers.removeIf([&](const auto &entry) {
        return now - entry.value().reportedAt > RateTimeout
            && now - entry.value().ratesAt > RateTimeout;
    });
}

QList<FleetAdmission::Figures> FleetAdmission::figures()
{
    const MonotonicTime now = m_timers.now();
    const QList<Waiting> waiting = m_waiting();
    QList<Figures> all;
    for (auto &[id, service] : m_services) {
        Figures figures;
        figures.service = id;
        figures.own = ownDemand(id, waiting);
        FleetDemand demand = service.demand;
        demand.own = figures.own;
        for (const WaitingWork &group : std::as_const(demand.own.waiting))
            figures.fleetWaiting[group.level / LevelsPerPriority] += group.work.room;
        for (const DaemonDemand &peer : std::as_const(demand.peers)) {
            if (now - peer.reportedAt > DemandTimeout)
                continue;
            for (const WaitingWork &group : peer.waiting)
                figures.fleetWaiting[group.level / LevelsPerPriority] += group.work.room;
        }
        figures.usage = fleetRates(service.usage, now);
        figures.usage =
            figures.usage.first(std::min<qsizetype>(figures.usage.size(), MaxUsageFigures));
        all.append(figures);
    }
    return all;
}

} // namespace cranberry
