#include "relay/TargetDirectory.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/ColdPace.h"

#include <QRandomGenerator>

#include <algorithm>

namespace cranberry {

namespace {

/// Targets of an evacuated data centre may have started again just before the evacuation ends. They
/// report it with their next heartbeat, which takes up to 1.2 s and a change of the store.
constexpr Milliseconds MaxColdReportDelay{2500};

} // namespace

QList<const TargetRecord *> TargetDirectory::takingWork(const ServiceId &service) const
{
    QList<const TargetRecord *> targets;
    for (const TargetRecord &record : m_targets) {
        if (record.entry.service == service && takesWork(record))
            targets.append(&record);
    }
    return targets;
}

void TargetDirectory::setEvacuated(const DataCentreId &dataCentre, bool isEvacuated)
{
    if (isEvacuated) {
        m_evacuated.insert(dataCentre);
        return;
    }
    if (!m_evacuated.remove(dataCentre))
        return;
    for (TargetRecord &record : m_targets) {
        if (record.entry.dataCentre != dataCentre)
            continue;
        record.maybeColdUntil = m_timers.now() + MaxColdReportDelay;
        startPacing(record, "evacuation ended");
    }
    notifyCapacity();
}

bool TargetDirectory::takesWork(const TargetRecord &record) const
{
    return !record.isLeaving && !record.isWithheld
        && !m_evacuated.contains(record.entry.dataCentre);
}

bool TargetDirectory::takesWork(const TargetId &target) const
{
    const TargetRecord *record = find(target);
    return record && takesWork(*record);
}

bool TargetDirectory::isEvacuated(const ServiceId &service) const
{
    bool isAnyEvacuated = false;
    for (const TargetRecord &record : m_targets) {
        if (record.entry.service != service || record.isLeaving || record.isWithheld)
            continue;
        if (takesWork(record))
            return false;
        isAnyEvacuated = true;
    }
    return isAnyEvacuated;
}

void TargetDirectory::updateColdPeriod(TargetRecord &record)
{
    const MonotonicTime now = m_timers.now();
    const bool wasCold = record.isCold(now);
    const Milliseconds left = record.entry.coldLeft;
    record.coldUntil = left.count() > 0 ? now + left : std::min(record.coldUntil, now);
    // A target may become cold at any time, not only when it joins.
    if (record.isCold(now) && !wasCold)
        startPacing(record, "entry");
}

void TargetDirectory::startPacing(TargetRecord &record, const char *reason)
{
    const Milliseconds pace = m_coldPace(record.entry.service);
    if (pace.count() == 0)
        return;
    const MonotonicTime now = m_timers.now();
    record.nextColdSend = now + firstColdDelay(pace, QRandomGenerator::global()->generateDouble());
    const auto left = std::chrono::duration_cast<Milliseconds>(
        std::max(record.coldUntil, record.maybeColdUntil) - now);
    logEvent(LogLevel::Info, EventId::TargetCold,
             {{"target", record.entry.id.text()},
              {"reason", QLatin1String(reason)},
              {"left_ms", QString::number(left.count())},
              {"pace_ms", QString::number(pace.count())}});
    scheduleCapacityNotice(record.nextColdSend);
}

} // namespace cranberry
