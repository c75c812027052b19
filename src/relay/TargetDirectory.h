// Defines TargetDirectory, all targets that a daemon knows and what it has seen of them.
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

/// Thread safety: only from the thread of the event loop.
class TargetDirectory
{
public:
    using LeavingCallback = std::function<void(const TargetId &target)>;
    using OwnLoadCallback = std::function<void(const TargetId &target, bool isMore)>;
    using ChangedCallback = std::function<void()>;

    /// Precondition: @p timers outlives the directory.
    explicit TargetDirectory(TimerService &timers);
    ~TargetDirectory();

    /// Takes in an entry that is new or has changed.
    void put(const RelayTarget &entry);
    /// The target is gone; its record stays while requests or copies are at it.
    void remove(const TargetId &target);
    /// The target has ended and started anew under another id: its requests are lost.
    void startedAgain(const TargetId &target);
    /// It takes no new work until its next entry.
    void withhold(const TargetId &target);
    /// The target said so itself or through another daemon.
    void markLeaving(const TargetId &target, const char *source);

    /// Another daemon says that the target leaves in @p left.
    void heardLeaving(const TargetId &target, Milliseconds left);

    /// The target said that it has no room for a request.
    void markFull(const TargetId &target);

    /// Null if it is not known.
    const TargetRecord *find(const TargetId &target) const;
    /// The operator wants nothing more to be sent to the targets of @p dataCentre, or takes that
    /// back. What runs there goes on.
    void setEvacuated(const DataCentreId &dataCentre, bool isEvacuated);
    /// @p target is there, stays, and its data centre is not evacuated.
    bool takesWork(const TargetId &target) const;
    bool isEvacuated(const DataCentreId &dataCentre) const
    {
        return m_evacuated.contains(dataCentre);
    }
    qsizetype evacuatedDataCentres() const { return m_evacuated.size(); }
    /// All targets of @p service that could take work are in evacuated data centres.
    bool isEvacuated(const ServiceId &service) const;
    /// Targets of @p service that take new work, in the order of their ids.
    QList<const TargetRecord *> takingWork(const ServiceId &service) const;
    int count(const ServiceId &service) const;

    /// A request begins or ends at @p target.
    void requestPlaced(const TargetId &target, Tokens tokens);
    void requestEnded(const TargetId &target, Tokens tokens);
    /// Copies of generations that run elsewhere begin or end at @p target.
    void backupPlaced(const TargetId &target, Tokens tokens);
    void backupEnded(const TargetId &target, Tokens tokens);
    /// A request there will take more than was forecast.
    void tokensAdded(const TargetId &target, Tokens tokens);
    /// A prompt is at @p target to be read, or has been.
    void promptPlaced(const TargetId &target, Tokens tokens);
    void promptRead(const TargetId &target, Tokens tokens);
    /// Another daemon says what it has at @p target.
    void peerLoad(const TargetId &target, const VmId &peer, const PeerLoad &load);
    /// A copy of a generation from @p source to @p destination was ordered here or by a peer.
    void copyOrdered(const TargetId &source, const TargetId &destination, Milliseconds duration);
    /// It was refused and takes no link.
    void copyRefused(const TargetId &source, const TargetId &destination, Milliseconds duration);
    /// Targets at which this daemon has requests.
    QList<TargetId> usedByThisDaemon() const;
    /// The data centre of @p target told what is there.
    void toldByOwner(const TargetId &target);
    /// Targets of @p dataCentre that take work, of the services for which @p hasEngine is true, in
    /// the order of their ids.
    QList<TargetId> withEngine(const DataCentreId &dataCentre,
                               const std::function<bool(const ServiceId &)> &hasEngine) const;
    /// At most @p most of these, those with the least memory taken first.
    QList<TargetId> emptiest(const DataCentreId &dataCentre,
                             const std::function<bool(const ServiceId &)> &hasEngine,
                             qsizetype most) const;
    /// What all have there, but for the daemons of @p dataCentre.
    PeerLoad loadWithout(const TargetId &target, const DataCentreId &dataCentre) const;
    /// What a request showed of the target.
    void succeeded(const TargetId &target);
    void failed(const TargetId &target, const char *how);
    void reported(const TargetId &target, const EngineReport &report);

    /// @p pace tells the time between two requests of this daemon to a cold target of a service;
    /// zero is without limit.
    void setColdPace(std::function<Milliseconds(const ServiceId &)> pace)
    {
        m_coldPace = std::move(pace);
    }
    /// Called when a target stops to take new work.
    void onLeaving(LeavingCallback callback) { m_leaving = std::move(callback); }
    /// Called when a target says to this daemon, itself or by its entry, that it leaves.
    void onLeavingFirstHand(LeavingCallback callback) { m_leavingFirstHand = std::move(callback); }
    /// Called when a target is gone that had not said that it leaves.
    void onCrashed(LeavingCallback callback) { m_crashed = std::move(callback); }
    /// Called when a target is gone with all that it ran.
    void onLost(LeavingCallback callback) { m_lost = std::move(callback); }
    /// Called when a target may take more than before.
    void onRoom(ChangedCallback callback) { m_room = std::move(callback); }
    /// Called when what this daemon has at a target becomes more or less.
    void onOwnLoad(OwnLoadCallback callback) { m_ownLoad = std::move(callback); }

private:
    bool takesWork(const TargetRecord &record) const;
    void noteCold(TargetRecord &record);
    void beginPace(TargetRecord &record, const char *reason);
    void leaving(TargetRecord &record, Milliseconds left, const char *source);
    void dropIfUnused(const TargetId &target);
    void roomChanged();
    /// Calls onRoom() when a target that is left out comes back.
    void tellRoomAt(MonotonicTime due);
    void tellNextRoom();
    void ownLoadChanged(const TargetId &target, bool isMore);

    TimerService &m_timers;
    std::unique_ptr<TimerSubscription> m_roomLater;
    MonotonicTime m_roomDue;
    QMap<TargetId, TargetRecord> m_targets;
    LeavingCallback m_leaving;
    LeavingCallback m_leavingFirstHand;
    LeavingCallback m_crashed;
    LeavingCallback m_lost;
    ChangedCallback m_room;
    OwnLoadCallback m_ownLoad;
    QHash<TargetId, bool> m_removed;
    QSet<DataCentreId> m_evacuated;
    std::function<Milliseconds(const ServiceId &)> m_coldPace = [](const ServiceId &) {
        return Milliseconds(0);
    };
};

} // namespace cranberry
