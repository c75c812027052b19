#include "relay/TargetDirectory.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"

#include <QRandomGenerator>

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Weight of the newest request in the share of failures: a target that fails four of ten is
/// known after about five requests.
constexpr double FailureWeight = 0.2;
/// A target is tried again after this time, doubled with each failure in a row.
constexpr Milliseconds FirstSuspicion{250};
constexpr Milliseconds LongestSuspicion{4000};
/// An engine that has no room is asked again after this time, in which the other daemons tell what
/// has ended there. With five generations of eight seconds in an engine one ends each 1.6 s.
constexpr Milliseconds FullFor{100};

/// Daemons with waiting prompts begin to use a new engine within this time, each at a moment of its
/// own, so that they hear of each other's placements (10 ms and more) before they choose.
constexpr Milliseconds NewTargetSpread{400};

/// Engines that are taken away go between 1.5 and 2.1 s after they say so, and the word takes up
/// to 0.2 s to arrive.
constexpr Milliseconds LeastNotice{1300};

Milliseconds spreadDelay()
{
    const double part = QRandomGenerator::global()->generateDouble();
    return std::chrono::duration_cast<Milliseconds>(part * NewTargetSpread);
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
        record.isLeaving = entry.isLeaving;
        record.spreadUntil = m_timers.now() + spreadDelay();
        noteCold(record);
        m_targets.insert(entry.id, record);
        logTarget(EventId::TargetJoined, record, entry.isLeaving ? "leaving" : "ready");
        roomChanged();
        tellRoomAt(record.spreadUntil);
        return;
    }
    // A target that said it leaves does not come back under the same id.
    const bool wasWithheld = std::exchange(known->isWithheld, false);
    known->entry = entry;
    known->entry.isLeaving = entry.isLeaving || known->isLeaving;
    noteCold(*known);
    if (entry.isLeaving)
        markLeaving(entry.id, "entry");
    else if (wasWithheld)
        roomChanged();
}

void TargetDirectory::startedAgain(const TargetId &target)
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
    leaving(*known, LeastNotice, source);
    if (m_leavingFirstHand)
        m_leavingFirstHand(target);
}

void TargetDirectory::heardLeaving(const TargetId &target, Milliseconds left)
{
    const auto known = m_targets.find(target);
    if (known != m_targets.end() && !known->isLeaving)
        leaving(*known, left, "peer");
}

void TargetDirectory::leaving(TargetRecord &record, Milliseconds left, const char *source)
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
    known->fullUntil = m_timers.now() + FullFor;
    tellRoomAt(known->fullUntil);
}

void TargetDirectory::tellRoomAt(MonotonicTime due)
{
    if (m_roomLater && m_roomDue <= due)
        return;
    m_roomDue = due;
    // A busy daemon may come to it after that moment; a timer that is due before now never fires,
    // and the requests that wait for it would not be told.
    const auto delay = std::chrono::ceil<Milliseconds>(due - m_timers.now());
    m_roomLater = m_timers.after(std::max(delay, Milliseconds(0)), [this] {
        m_roomLater.reset();
        roomChanged();
        tellNextRoom();
    });
}

void TargetDirectory::tellNextRoom()
{
    const MonotonicTime now = m_timers.now();
    for (const TargetRecord &record : std::as_const(m_targets)) {
        const MonotonicTime mayBeSent = record.isPaced(now) ? record.coldSendAfter : now;
        for (const MonotonicTime due :
             {record.fullUntil, record.spreadUntil, record.coldUntil, mayBeSent}) {
            if (due > now)
                tellRoomAt(due);
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
    // An entry that could not be read and then ends does not tell what became of the target.
    if (!known->isLeaving && !known->isWithheld && m_crashed)
        m_crashed(target);
    // Not told to others: this daemon may be the only one that the store shows no entry.
    if (!known->isLeaving)
        leaving(*known, LeastNotice, "entry removed");
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
        known->coldSendAfter = now + m_coldPace(known->entry.service);
    ++known->ownRunning;
    known->ownTokens += tokens;
    ++known->placedSince;
    known->tokensSince += tokens;
    ownLoadChanged(target, true);
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
    ownLoadChanged(target, false);
    roomChanged();
}

void TargetDirectory::peerLoad(const TargetId &target, const VmId &peer, const PeerLoad &load)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end())
        return;
    const PeerLoad before = known->peers.value(peer);
    const bool isLess = load.tokens < before.tokens || load.unread < before.unread;
    known->peers.insert(peer, load);
    if (isLess)
        roomChanged();
}

void TargetDirectory::copyOrdered(const TargetId &source, const TargetId &destination,
                                  Milliseconds duration)
{
    // Each link by itself, so that a refusal can be taken back.
    for (const auto &end : {m_targets.find(source), m_targets.find(destination)}) {
        if (end != m_targets.end())
            end->linkFree = std::max(end->linkFree, m_timers.now()) + duration;
    }
}

void TargetDirectory::copyRefused(const TargetId &source, const TargetId &destination,
                                  Milliseconds duration)
{
    for (const auto &end : {m_targets.find(source), m_targets.find(destination)}) {
        if (end != m_targets.end())
            end->linkFree -= duration;
    }
}

QList<TargetId> TargetDirectory::usedByThisDaemon() const
{
    QList<TargetId> used;
    for (const TargetRecord &record : m_targets) {
        if (record.ownRunning > 0 || record.ownBackup.value() > 0)
            used.append(record.entry.id);
    }
    return used;
}

void TargetDirectory::toldByOwner(const TargetId &target)
{
    const auto known = m_targets.find(target);
    if (known != m_targets.end())
        known->toldByOwner = m_timers.now();
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

QList<TargetId> TargetDirectory::emptiest(const DataCentreId &dataCentre,
                                          const std::function<bool(const ServiceId &)> &hasEngine,
                                          qsizetype most) const
{
    QList<std::pair<Tokens, TargetId>> found;
    for (const TargetId &id : withEngine(dataCentre, hasEngine))
        found.append({loadWithout(id, {}).tokens, id});
    std::sort(found.begin(), found.end());
    QList<TargetId> ids;
    for (const auto &[tokens, id] : found.first(std::min(most, found.size())))
        ids.append(id);
    return ids;
}

PeerLoad TargetDirectory::loadWithout(const TargetId &target, const DataCentreId &dataCentre) const
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
        if (peer.dataCentre == dataCentre || m_timers.now() - peer.heard > PeerLoadHolds)
            continue;
        sum.running += peer.running;
        sum.tokens += peer.tokens;
        sum.backup += peer.backup;
        sum.unread += peer.unread;
    }
    return sum;
}

void TargetDirectory::ownLoadChanged(const TargetId &target, bool isMore)
{
    if (m_ownLoad)
        m_ownLoad(target, isMore);
}

void TargetDirectory::requestEnded(const TargetId &target, Tokens tokens)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end())
        return;
    --known->ownRunning;
    known->ownTokens -= tokens;
    ownLoadChanged(target, false);
    dropIfUnused(target);
    roomChanged();
}

void TargetDirectory::backupPlaced(const TargetId &target, Tokens tokens)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end())
        return;
    known->ownBackup += tokens;
    ownLoadChanged(target, true);
}

void TargetDirectory::backupEnded(const TargetId &target, Tokens tokens)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end())
        return;
    known->ownBackup -= tokens;
    ownLoadChanged(target, false);
    dropIfUnused(target);
    roomChanged();
}

void TargetDirectory::tokensAdded(const TargetId &target, Tokens tokens)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end())
        return;
    known->ownTokens += tokens;
    ownLoadChanged(target, false);
}

void TargetDirectory::succeeded(const TargetId &target)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end())
        return;
    known->failureShare *= 1 - FailureWeight;
    known->failureSeen = m_timers.now();
    if (known->failuresInRow > 0)
        logTarget(EventId::TargetCleared, *known, "answered");
    known->failuresInRow = 0;
    known->suspectUntil = {};
}

void TargetDirectory::failed(const TargetId &target, const char *how)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end())
        return;
    known->failureShare += FailureWeight * (1 - known->failureShare);
    known->failureSeen = m_timers.now();
    const int doublings = std::min(known->failuresInRow, 6);
    ++known->failuresInRow;
    const Milliseconds pause = std::min(FirstSuspicion * (1 << doublings), LongestSuspicion);
    known->suspectUntil = m_timers.now() + pause;
    logTarget(EventId::TargetSuspected, *known, how);
}

void TargetDirectory::reported(const TargetId &target, const EngineReport &report)
{
    const auto known = m_targets.find(target);
    if (known == m_targets.end())
        return;
    // An entry that names no start says nothing of which one reports.
    const bool namesStart = known->entry.incarnation != Incarnation();
    if (namesStart && report.incarnation && *report.incarnation != known->entry.incarnation) {
        // The address answers for another start; the entry of the newer one may come late.
        if (*report.incarnation > known->entry.incarnation)
            startedAgain(target);
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
    known->placedSince = 0;
    known->tokensSince = Tokens(0);
    if (report.isLeaving)
        markLeaving(target, "report");
    roomChanged();
}

void TargetDirectory::roomChanged()
{
    if (m_room)
        m_room();
}

} // namespace cranberry
