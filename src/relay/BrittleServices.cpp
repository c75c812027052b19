#include "relay/BrittleServices.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "relay/AnswerHead.h"
#include "relay/RelayRetryBudget.h"
#include "relay/TargetDirectory.h"

namespace cranberry {

BrittleServices::BrittleServices(TimerService &timers, const TargetDirectory &targets,
                                 std::function<FleetPosition()> position)
    : m_timers(timers)
    , m_targets(targets)
    , m_position(std::move(position))
{
}

void BrittleServices::recordAnswer(const TargetId &target, const AnswerHead &head,
                                   MonotonicTime asked)
{
    const TargetRecord *record = m_targets.find(target);
    if (!record || head.isMisdirected)
        return;
    // An answer that a target did not complete or seal may have lost the header.
    const bool isOfTarget = head.isSealed && !head.isUnusable;
    if (!head.rejectionsPerSecond && !isOfTarget)
        return;
    const ServiceId &service = record->entry.service;
    const auto known = m_services.find(service);
    if (known == m_services.end() && !head.rejectionsPerSecond)
        return;
    BrittleEvidence &evidence = m_services[service];
    const bool wasBrittle = evidence.rejectionsPerSecond.has_value();
    evidence = newerEvidence(evidence, {head.rejectionsPerSecond, asked});
    if (evidence.rejectionsPerSecond.has_value() == wasBrittle)
        return;
    const FleetPosition position = m_position();
    logEvent(LogLevel::Info, wasBrittle ? EventId::ServiceRobust : EventId::ServiceBrittle,
             {{"service", service.text()},
              {"target", target.text()},
              {"rejections_per_second", QString::number(evidence.rejectionsPerSecond.value_or(0))},
              {"rank", QString::number(position.rank)},
              {"daemons", QString::number(position.daemons)}});
}

bool BrittleServices::isBrittle(const ServiceId &service) const
{
    const auto known = m_services.find(service);
    return known != m_services.end() && known->second.rejectionsPerSecond.has_value();
}

bool BrittleServices::hasPart(const ServiceId &service) const
{
    if (!isBrittle(service))
        return true;
    int slots = 0;
    for (const TargetRecord *target : m_targets.takingWork(service))
        slots += target->entry.slots;
    return m_position().rank < slots;
}

QSet<TargetId> BrittleServices::withoutRoom(const ServiceId &service) const
{
    return isBrittle(service) ? withoutRoom(m_targets.takingWork(service)) : QSet<TargetId>();
}

QSet<TargetId> BrittleServices::withoutRoom(const QList<const TargetRecord *> &targets) const
{
    const FleetPosition position = m_position();
    QList<int> slots;
    for (const TargetRecord *target : targets)
        slots.append(target->entry.slots);
    QSet<TargetId> full;
    for (qsizetype i = 0; i < targets.size(); ++i) {
        const int share = brittleShare(slots, i, position.rank, position.daemons);
        if (targets[i]->ownRunning >= share)
            full.insert(targets[i]->entry.id);
    }
    return full;
}

} // namespace cranberry
