#pragma once

#include "relay/TargetRecord.h"

#include <QHash>
#include <QList>
#include <QMap>
#include <QSet>

#include <functional>
#include <memory>

namespace cranberry {

class TimerService;
class TimerSubscription;

/// All targets that a daemon knows and what it has observed of them. TargetDirectoryWork.cpp
/// implements the part that decides which targets take new work, and how much.
/// Thread safety: only from the thread of the event loop.
class TargetDirectory
{
public:
    using LeavingCallback = std::function<void(const TargetId &target)>;
    using OwnLoadCallback = std::function<void(const TargetId &target, bool isIncrease)>;
    using ChangedCallback = std::function<void()>;

    /// Precondition: @p timers outlives the directory.
    explicit TargetDirectory(TimerService &timers);
    ~TargetDirectory();

    /// Adds or updates the entry of a target.
    void put(const RelayTarget &entry);
    /// Removes a target whose entry is gone. Its record stays while requests or copies are at it.
    void remove(const TargetId &target);
    /// Handles the restart of a target under another id: its requests are lost.
    void handleRestart(const TargetId &target);
    /// Excludes the target from new work until its next entry.
    void withhold(const TargetId &target);
    /// Marks the target as leaving, as this daemon found out itself. @p source is logged.
    void markLeaving(const TargetId &target, const char *source);

    /// Marks the target as leaving in @p left, as another daemon reported.
    void markLeavingByPeer(const TargetId &target, Milliseconds left);

    /// Records that the target refused a request for lack of room.
    void markFull(const TargetId &target);

    /// Null if the target is not known.
    const TargetRecord *find(const TargetId &target) const;
    /// Sets whether the operator evacuates @p dataCentre. Nothing more is sent to the targets of an
    /// evacuated data centre; what runs there continues.
    void setEvacuated(const DataCentreId &dataCentre, bool isEvacuated);
    /// Whether @p target is known, is neither leaving nor withheld, and its data centre is not
    /// evacuated.
    bool takesWork(const TargetId &target) const;
    bool isEvacuated(const DataCentreId &dataCentre) const
    {
        return m_evacuated.contains(dataCentre);
    }
    qsizetype evacuatedDataCentres() const { return m_evacuated.size(); }
    /// Whether all targets of @p service that could take work are in evacuated data centres.
    bool isEvacuated(const ServiceId &service) const;
    /// The targets of @p service that take new work, ordered by id.
    QList<const TargetRecord *> takingWork(const ServiceId &service) const;
    int count(const ServiceId &service) const;

    /// Record that a request begins or ends at @p target.
    void requestPlaced(const TargetId &target, Tokens tokens);
    void requestEnded(const TargetId &target, Tokens tokens);
    /// Record that copies of generations that run elsewhere begin or end at @p target.
    void backupPlaced(const TargetId &target, Tokens tokens);
    void backupEnded(const TargetId &target, Tokens tokens);
    /// Records that a request at @p target will take more memory than was forecast.
    void tokensAdded(const TargetId &target, Tokens tokens);
    /// Record that a prompt waits to be read at @p target, or was read.
    void promptPlaced(const TargetId &target, Tokens tokens);
    void promptRead(const TargetId &target, Tokens tokens);
    /// Sets the load that another daemon reports at @p target.
    void setPeerLoad(const TargetId &target, const VmId &peer, const PeerLoad &load);
    /// Sets what was observed of the speed of @p target.
    void setSpeed(const TargetId &target, const TargetSpeed &speed);
    /// At most @p maxCount targets whose speed was observed, ordered by id.
    QList<TargetId> withSpeed(qsizetype maxCount) const;
    /// Records that a copy of a generation from @p source to @p destination was ordered, by this
    /// daemon or a peer.
    void copyOrdered(const TargetId &source, const TargetId &destination, Milliseconds duration);
    /// Records that the copy was refused and uses no link.
    void copyRefused(const TargetId &source, const TargetId &destination, Milliseconds duration);
    /// The targets at which this daemon has requests or copies.
    QList<TargetId> targetsInUse() const;
    /// Records that the data centre of @p target reported the load there.
    void recordOwnerReport(const TargetId &target);
    /// The targets of @p dataCentre that take work, of the services for which @p hasEngine returns
    /// true, ordered by id.
    QList<TargetId> withEngine(const DataCentreId &dataCentre,
                               const std::function<bool(const ServiceId &)> &hasEngine) const;
    /// At most @p maxCount of these targets, those with the least memory in use first.
    QList<TargetId> leastLoaded(const DataCentreId &dataCentre,
                                const std::function<bool(const ServiceId &)> &hasEngine,
                                qsizetype maxCount) const;
    /// The load of all daemons at @p target except those of @p dataCentre.
    PeerLoad loadExcluding(const TargetId &target, const DataCentreId &dataCentre) const;
    /// Record the outcome of a request to the target, or a report of the target.
    void recordSuccess(const TargetId &target);
    void recordFailure(const TargetId &target, const char *how);
    /// The target did not take a request, which its load figures may not show.
    void recordRejection(const TargetId &target);
    void recordReport(const TargetId &target, const EngineReport &report);

    /// Sets what decides whether a target has said that it leaves, before its entry was there.
    void setHasSaidLeaving(std::function<bool(const TargetId &)> hasSaidLeaving)
    {
        m_hasSaidLeaving = std::move(hasSaidLeaving);
    }
    /// Sets the pace for cold targets: @p pace returns the interval between two requests of this
    /// daemon to a cold target of a service; zero means no limit.
    void setColdPace(std::function<Milliseconds(const ServiceId &)> pace)
    {
        m_coldPace = std::move(pace);
    }
    /// Called when a target stops taking new work.
    void onLeaving(LeavingCallback callback) { m_leaving = std::move(callback); }
    /// Called when this daemon finds out itself that a target is leaving, from the target or its
    /// entry.
    void onLeavingDirect(LeavingCallback callback) { m_leavingDirect = std::move(callback); }
    /// Called when a target is gone that had not announced that it leaves.
    void onCrashed(LeavingCallback callback) { m_crashed = std::move(callback); }
    /// Called when a target is gone with everything that ran there.
    void onLost(LeavingCallback callback) { m_lost = std::move(callback); }
    /// Called when a target may take more work than before.
    void onCapacityFreed(ChangedCallback callback) { m_capacityFreed = std::move(callback); }
    /// Called when this daemon's load at a target increases or decreases.
    void onOwnLoad(OwnLoadCallback callback) { m_ownLoad = std::move(callback); }

private:
    bool takesWork(const TargetRecord &record) const;
    void updateColdPeriod(TargetRecord &record);
    void startPacing(TargetRecord &record, const char *reason);
    void startLeaving(TargetRecord &record, Milliseconds left, const char *source);
    void dropIfUnused(const TargetId &target);
    void notifyCapacity();
    /// Schedules a call of onCapacityFreed() at @p due, when an excluded target becomes available.
    void scheduleCapacityNotice(MonotonicTime due);
    void scheduleNextCapacityNotice();
    void notifyOwnLoad(const TargetId &target, bool isIncrease);

    TimerService &m_timers;
    std::unique_ptr<TimerSubscription> m_capacityTimer;
    MonotonicTime m_capacityDue;
    QMap<TargetId, TargetRecord> m_targets;
    LeavingCallback m_leaving;
    LeavingCallback m_leavingDirect;
    LeavingCallback m_crashed;
    LeavingCallback m_lost;
    ChangedCallback m_capacityFreed;
    OwnLoadCallback m_ownLoad;
    QHash<TargetId, bool> m_removed;
    QSet<DataCentreId> m_evacuated;
    std::function<bool(const TargetId &)> m_hasSaidLeaving = [](const TargetId &) { return false; };
    std::function<Milliseconds(const ServiceId &)> m_coldPace = [](const ServiceId &) {
        return Milliseconds(0);
    };
};

} // namespace cranberry
