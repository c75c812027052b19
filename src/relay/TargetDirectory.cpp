#include "relay/TargetDirectory.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"

#include <QRandomGenerator>

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Weight of the newest request in the failure rate: a target that fails four of ten requests is
/// detected after about five requests.
constexpr double FailureWeight = 0.2;
/// A target is tried again after this time, doubled with each consecutive failure.
constexpr Milliseconds MinSuspicionTime{250};
constexpr Milliseconds MaxSuspicionTime{4000};
/// Other targets are preferred to one that rejected a request for this time, doubled with each
/// consecutive rejection.
constexpr Milliseconds MinAvoidance{100};
constexpr int MaxAvoidanceDoublings = 4;
/// An engine that has no room is asked again after this time, in which the other daemons report
/// what has ended there. With five generations of eight seconds in an engine, one ends every 1.6 s.
constexpr Milliseconds FullRetryDelay{100};

/// Daemons with waiting prompts begin to use a new engine within this time, each after a random
/// delay, so that they hear of each other's placements (10 ms and more) before they choose.
constexpr Milliseconds MaxFirstUseDelay{400};

/// Engines that are taken away end between 1.5 and 2.1 s after they announce it, and the
/// announcement takes up to 0.2 s to arrive.
constexpr Milliseconds MinLeaveNotice{1300};

Milliseconds randomFirstUseDelay()
{
    const double part = QRandomGenerator::global()->generateDouble();
    return std::chrono::duration_cast<Milliseconds>(part * MaxFirstUseDelay);
}

void logTarget(EventId event, const TargetRecord &record, const char *reason)
{
    logEvent(LogLevel::Info, event,
             {{"target", record.entry.id.text()},
              {"service", record.entry.service.text()},
              {"data_centre", record.entry.dataCentre.text()},
              {"running", QString::number(record.ownRunning)},
              {"reason", QLatin1String(reason)}});
}

} // namespace

TargetDirectory::TargetDirectory(TimerService &timers)
    : m_timers(timers)
{
}

TargetDirectory::~TargetDirectory() = default;

void TargetDirectory::put(const RelayTarget &entry)
{
    const auto known = m_targets.find(entry.id);
    m_removed.remove(entry.id);
    if (known == m_targets.end()) {
        TargetRecord record;
        record.entry = entry;
        record.isLeaving = entry.isLeaving || m_hasSaidLeaving(entry.id);
        record.firstUseAfter = m_timers.now() + randomFirstUseDelay();
        updateColdPeriod(record);
        m_targets.insert(entry.id, record);
        logTarget(EventId::TargetJoined, record, record.isLeaving ? "leaving" : "ready");
        notifyCapacity();
        scheduleCapacityNotice(record.firstUseAfter);
        return;
    }
    // A target that announced that it leaves does not come back under the same id.
    const bool wasWithheld = std::exchange(known->isWithheld, false);
    known->entry = entry;
    known->entry.isLeaving = entry.isLeaving || known->isLeaving;
    updateColdPeriod(*known);
    if (entry.isLeaving)
        markLeaving(entry.id, "entry");
    else if (wasWithheld)
        notifyCapacity();
}

void TargetDirectory::handleRestart(const TargetId &target)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end())
        return;
    logTarget(EventId::TargetStartedAgain, *known, "new start");
    if (m_lost)
        m_lost(target);
    remove(target);
}

void TargetDirectory::withhold(const TargetId &target)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end() || known->isWithheld)
        return;
    known->isWithheld = true;
    logTarget(EventId::TargetWithheld, *known, "entry unreadable");
}

void TargetDirectory::markLeaving(const TargetId &target, const char *source)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end() || known->isLeaving)
        return;
    startLeaving(*known, MinLeaveNotice, source);
    if (m_leavingDirect)
        m_leavingDirect(target);
}

void TargetDirectory::markLeavingByPeer(const TargetId &target, Milliseconds left)
{
    const auto known = m_targets.find(target);
    if (known != m_targets.end() && !known->isLeaving)
        startLeaving(*known, left, "peer");
}

void TargetDirectory::startLeaving(TargetRecord &record, Milliseconds left, const char *source)
{
    record.isLeaving = true;
    record.leavesAt = m_timers.now() + left;
    logTarget(EventId::TargetLeaving, record, source);
    const TargetId target = record.entry.id;
    if (m_leaving)
        m_leaving(target);
}

void TargetDirectory::markFull(const TargetId &target)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end())
        return;
    known->fullUntil = m_timers.now() + FullRetryDelay;
    scheduleCapacityNotice(known->fullUntil);
}

void TargetDirectory::scheduleCapacityNotice(MonotonicTime due)
{
    if (m_capacityTimer && m_capacityDue <= due)
        return;
    m_capacityDue = due;
    // A busy daemon may get here after that time. A timer that is due in the past never fires, and
    // the waiting requests would not be notified.
    const auto delay = std::chrono::ceil<Milliseconds>(due - m_timers.now());
    m_capacityTimer = m_timers.after(std::max(delay, Milliseconds(0)), [this] {
        m_capacityTimer.reset();
        notifyCapacity();
        scheduleNextCapacityNotice();
    });
}

void TargetDirectory::scheduleNextCapacityNotice()
{
    const MonotonicTime now = m_timers.now();
    for (const TargetRecord &record : std::as_const(m_targets)) {
        const MonotonicTime mayBeSent = record.isPaced(now) ? record.nextColdSend : now;
        for (const MonotonicTime due :
             {record.fullUntil, record.firstUseAfter, record.coldUntil, mayBeSent}) {
            if (due > now)
                scheduleCapacityNotice(due);
        }
    }
}

void TargetDirectory::remove(const TargetId &target)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end())
        return;
    m_removed.insert(target, true);
    logTarget(EventId::TargetGone, *known, "entry removed");
    // An entry that could not be read and then ends does not show what became of the target.
    if (!known->isLeaving && !known->isWithheld && m_crashed)
        m_crashed(target);
    // Other daemons are not told: this daemon may be the only one that gets no entry from the
    // store.
    if (!known->isLeaving)
        startLeaving(*known, MinLeaveNotice, "entry removed");
    dropIfUnused(target);
}

void TargetDirectory::dropIfUnused(const TargetId &target)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end() || !m_removed.contains(target))
        return;
    if (known->ownRunning > 0 || known->ownBackup.value() > 0)
        return;
    m_targets.erase(known);
    m_removed.remove(target);
}

const TargetRecord *TargetDirectory::find(const TargetId &target) const
{
    const auto known = m_targets.constFind(target);
    return known == m_targets.cend() ? nullptr : &*known;
}

int TargetDirectory::count(const ServiceId &service) const
{
    return int(std::count_if(m_targets.cbegin(), m_targets.cend(),
                             [&](const TargetRecord &r) { return r.entry.service == service; }));
}

void TargetDirectory::requestPlaced(const TargetId &target, Tokens tokens)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end())
        return;
    const MonotonicTime now = m_timers.now();
    if (known->isPaced(now))
        known->nextColdSend = now + m_coldPace(known->entry.service);
    ++known->ownRunning;
    known->ownTokens += tokens;
    ++known->placedSinceReport;
    known->tokensSinceReport += tokens;
    notifyOwnLoad(target, true);
}

void TargetDirectory::promptPlaced(const TargetId &target, Tokens tokens)
{
    const auto known = m_targets.find(target);
    if (known != m_targets.end())
        known->ownUnread += tokens;
}

void TargetDirectory::promptRead(const TargetId &target, Tokens tokens)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end())
        return;
    known->ownUnread -= tokens;
    notifyOwnLoad(target, false);
    notifyCapacity();
}

void TargetDirectory::setPeerLoad(const TargetId &target, const VmId &peer, const PeerLoad &load)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end())
        return;
    const PeerLoad before = known->peers.value(peer);
    const bool isLess =
        load.tokens < before.tokens || load.unread < before.unread || load.running < before.running;
    known->peers.insert(peer, load);
    if (isLess)
        notifyCapacity();
}

void TargetDirectory::setSpeed(const TargetId &target, const TargetSpeed &speed)
{
    const auto known = m_targets.find(target);
    if (known != m_targets.end())
        known->speed = speed;
}

QList<TargetId> TargetDirectory::withSpeed(qsizetype maxCount) const
{
    QList<TargetId> ids;
    for (const TargetRecord &record : m_targets) {
        const TargetSpeed &speed = record.speed;
        const double samples = speed.service.samples + speed.reading.samples + speed.pace.samples;
        if (samples > 0 && ids.size() < maxCount)
            ids.append(record.entry.id);
    }
    return ids;
}

void TargetDirectory::copyOrdered(const TargetId &source, const TargetId &destination,
                                  Milliseconds duration)
{
    // Each link is updated by itself, so that a refusal can be undone.
    for (const auto &end : {m_targets.find(source), m_targets.find(destination)}) {
        if (end != m_targets.end())
            end->linkFreeAt = std::max(end->linkFreeAt, m_timers.now()) + duration;
    }
}

void TargetDirectory::copyRefused(const TargetId &source, const TargetId &destination,
                                  Milliseconds duration)
{
    for (const auto &end : {m_targets.find(source), m_targets.find(destination)}) {
        if (end != m_targets.end())
            end->linkFreeAt -= duration;
    }
}

QList<TargetId> TargetDirectory::targetsInUse() const
{
    QList<TargetId> used;
    for (const TargetRecord &record : m_targets) {
        if (record.ownRunning > 0 || record.ownBackup.value() > 0)
            used.append(record.entry.id);
    }
    return used;
}

void TargetDirectory::recordOwnerReport(const TargetId &target)
{
    const auto known = m_targets.find(target);
    if (known != m_targets.end())
        known->ownerReportedAt = m_timers.now();
}

QList<TargetId>
TargetDirectory::withEngine(const DataCentreId &dataCentre,
                            const std::function<bool(const ServiceId &)> &hasEngine) const
{
    QList<TargetId> ids;
    for (const TargetRecord &record : m_targets) {
        const bool isThere = record.entry.dataCentre == dataCentre;
        if (isThere && takesWork(record) && hasEngine(record.entry.service))
            ids.append(record.entry.id);
    }
    return ids;
}

QList<TargetId>
TargetDirectory::leastLoaded(const DataCentreId &dataCentre,
                             const std::function<bool(const ServiceId &)> &hasEngine,
                             qsizetype maxCount) const
{
    QList<std::pair<Tokens, TargetId>> found;
    for (const TargetId &id : withEngine(dataCentre, hasEngine))
        found.append({loadExcluding(id, {}).tokens, id});
    std::sort(found.begin(), found.end());
    QList<TargetId> ids;
    for (const auto &[tokens, id] : found.first(std::min(maxCount, found.size())))
        ids.append(id);
    return ids;
}

PeerLoad TargetDirectory::loadExcluding(const TargetId &target,
                                        const DataCentreId &dataCentre) const
{
    const TargetRecord *record = find(target);
    PeerLoad sum;
    if (!record)
        return sum;
    sum.running = record->ownRunning;
    sum.tokens = record->ownTokens;
    sum.backup = record->ownBackup;
    sum.unread = record->ownUnread;
    for (const PeerLoad &peer : record->peers) {
        if (peer.dataCentre == dataCentre || m_timers.now() - peer.heardAt > PeerLoadTimeout)
            continue;
        sum.running += peer.running;
        sum.tokens += peer.tokens;
        sum.backup += peer.backup;
        sum.unread += peer.unread;
    }
    return sum;
}

void TargetDirectory::notifyOwnLoad(const TargetId &target, bool isIncrease)
{
    if (m_ownLoad)
        m_ownLoad(target, isIncrease);
}

void TargetDirectory::requestEnded(const TargetId &target, Tokens tokens)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end())
        return;
    --known->ownRunning;
    known->ownTokens -= tokens;
    notifyOwnLoad(target, false);
    dropIfUnused(target);
    notifyCapacity();
}

void TargetDirectory::backupPlaced(const TargetId &target, Tokens tokens)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end())
        return;
    known->ownBackup += tokens;
    notifyOwnLoad(target, true);
}

void TargetDirectory::backupEnded(const TargetId &target, Tokens tokens)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end())
        return;
    known->ownBackup -= tokens;
    notifyOwnLoad(target, false);
    dropIfUnused(target);
    notifyCapacity();
}

void TargetDirectory::tokensAdded(const TargetId &target, Tokens tokens)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end())
        return;
    known->ownTokens += tokens;
    notifyOwnLoad(target, false);
}

void TargetDirectory::recordSuccess(const TargetId &target)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end())
        return;
    known->failureRate *= 1 - FailureWeight;
    known->lastOutcomeAt = m_timers.now();
    if (known->consecutiveFailures > 0)
        logTarget(EventId::TargetCleared, *known, "answered");
    known->consecutiveFailures = 0;
    known->suspectUntil = {};
    known->consecutiveRejections = 0;
    known->avoidedUntil = {};
}

void TargetDirectory::recordFailure(const TargetId &target, const char *how)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end())
        return;
    known->failureRate += FailureWeight * (1 - known->failureRate);
    known->lastOutcomeAt = m_timers.now();
    const int doublings = std::min(known->consecutiveFailures, 6);
    ++known->consecutiveFailures;
    const Milliseconds pause = std::min(MinSuspicionTime * (1 << doublings), MaxSuspicionTime);
    known->suspectUntil = m_timers.now() + pause;
    logTarget(EventId::TargetSuspected, *known, how);
}

void TargetDirectory::recordRejection(const TargetId &target)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end())
        return;
    const int doublings = std::min(known->consecutiveRejections++, MaxAvoidanceDoublings);
    known->avoidedUntil = m_timers.now() + MinAvoidance * (1 << doublings);
}

void TargetDirectory::recordReport(const TargetId &target, const EngineReport &report)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end())
        return;
    // An entry without an incarnation does not show which one the report is from.
    const bool namesIncarnation = known->entry.incarnation != Incarnation();
    if (namesIncarnation && report.incarnation && *report.incarnation != known->entry.incarnation) {
        // The address belongs to another incarnation; the entry of a newer one may arrive late.
        if (*report.incarnation > known->entry.incarnation)
            handleRestart(target);
        return;
    }
    known->report = report;
    known->reportedAt = m_timers.now();
    if (report.leavesIn) {
        known->leavesAt = m_timers.now() + *report.leavesIn;
        logEvent(LogLevel::Info, EventId::TargetNotice,
                 {{"target", target.text()},
                  {"leaves_in_ms", QString::number(report.leavesIn->count())}});
    }
    known->placedSinceReport = 0;
    known->tokensSinceReport = Tokens(0);
    if (report.isLeaving)
        markLeaving(target, "report");
    notifyCapacity();
}

void TargetDirectory::notifyCapacity()
{
    if (m_capacityFreed)
        m_capacityFreed();
}

} // namespace cranberry
