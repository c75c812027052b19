#include "relay/WaitingRequests.h"

#include "base/StableSortByKey.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/FleetAdmission.h"
#include "relay/RelayRun.h"
#include "relay/WaitingRank.h"

#include <QHash>

namespace cranberry {

namespace {

/// Changes of room within this time are handled in one pass.
constexpr Milliseconds PassDelay{5};
/// Estimates of waiting requests are checked again at this interval, as more urgent ones arrive.
constexpr Milliseconds CheckInterval{100};

} // namespace

WaitingRequests::WaitingRequests(TimerService &timers, FleetAdmission &admission)
    : m_timers(timers)
    , m_admission(admission)
{
    admission.setWaiting([this] {
        QList<FleetAdmission::Waiting> waiting;
        const MonotonicTime now = m_timers.now();
        for (const std::weak_ptr<RelayRun> &weak : std::as_const(m_waiting)) {
            const std::shared_ptr<RelayRun> run = weak.lock();
            if (run && run->isWaiting() && run->waitsForRoom())
                waiting.append({run->service(), run->urgency(now), run->work()});
        }
        return waiting;
    });
}

WaitingRequests::~WaitingRequests() = default;

void WaitingRequests::add(const std::shared_ptr<RelayRun> &run)
{
    m_waiting.append(run);
    m_admission.waitingChanged(run->service());
    if (!m_checkTimer)
        m_checkTimer = m_timers.every(CheckInterval, [this] { tryAll(true); });
}

void WaitingRequests::roomChanged()
{
    if (m_waiting.isEmpty() || m_passTimer)
        return;
    m_passTimer = m_timers.after(PassDelay, [this] {
        m_passTimer.reset();
        tryAll(false);
    });
}

Work WaitingRequests::workAhead(const ServiceId &service, const Urgency &urgency) const
{
    const MonotonicTime now = m_timers.now();
    Work work;
    for (const std::weak_ptr<RelayRun> &weak : m_waiting) {
        const std::shared_ptr<RelayRun> run = weak.lock();
        const bool isAhead = run && run->isWaiting() && run->service() == service
            && run->waitsForRoom() && (!urgency.isBrief || run->urgency(now).isBrief)
            && isMoreUrgent(run->urgency(now), urgency);
        if (isAhead)
            work = work + run->work();
    }
    return work;
}

void WaitingRequests::tryAll(bool checksEstimates)
{
    QList<std::shared_ptr<RelayRun>> runs;
    for (const std::weak_ptr<RelayRun> &weak : std::exchange(m_waiting, {})) {
        const std::shared_ptr<RelayRun> run = weak.lock();
        if (run && run->isWaiting())
            runs.append(run);
    }
    const MonotonicTime now = m_timers.now();
    if (m_admission.settings().order)
        stableSortByKey(
            runs, [now](const auto &run) { return run->urgency(now); }, isMoreUrgent);
    else
        stableSortByKey(
            runs, [now](const auto &run) { return run->waitingRank(now); }, isServedBefore);
    // Of brief requests, and of all; see workAhead() of FleetDemand.
    QHash<ServiceId, Work> briefAhead;
    QHash<ServiceId, Work> ahead;
    QSet<ServiceId> services;
    for (const std::shared_ptr<RelayRun> &run : std::as_const(runs)) {
        if (!run->isWaiting())
            continue;
        services.insert(run->service());
        const bool isBrief = run->urgency(now).isBrief;
        const Work before = isBrief ? briefAhead[run->service()] : ahead[run->service()];
        if (run->tryPlace(before) || run->rejectIfUnavailable()
            || (checksEstimates && run->rejectIfHopeless(before)))
            continue;
        m_waiting.append(run);
        if (!run->waitsForRoom())
            continue;
        ahead[run->service()] = ahead[run->service()] + run->work();
        if (isBrief)
            briefAhead[run->service()] = briefAhead[run->service()] + run->work();
    }
    if (m_waiting.isEmpty())
        m_checkTimer.reset();
    notifyAdmission(services);
}

void WaitingRequests::notifyAdmission(const QSet<ServiceId> &services)
{
    for (const ServiceId &service : services)
        m_admission.waitingChanged(service);
}

} // namespace cranberry
