// Defines ConfigurationSpread, by which a daemon learns of accepted changes.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "configuration/LifeGuard.h"
#include "platformstore/KeyValue.h"

#include <QByteArray>
#include <QByteArrayList>
#include <QCborMap>
#include <QList>

#include <map>
#include <memory>
#include <optional>

namespace cranberry {

class ConfigurationStore;
class KeyValueStore;
class MemberView;
class PeerNetwork;
class TimerService;
class TimerSubscription;

/// Two daemons a data centre, chosen by rendezvous hashing among the live members, watch the
/// platform and pass new changes on along a tree of the data centre's daemons. Whoever that
/// does not reach hears of the version by heartbeat and pulls its changes from whoever it heard
/// it from. That keeps the calls on the platform independent of the number of daemons. Nothing
/// that must hold rests on it: it only carries changes already accepted.
/// Thread safety: only from its own thread.
class ConfigurationSpread
{
public:
    /// Precondition: the arguments outlive the spread.
    ConfigurationSpread(ConfigurationStore &store, KeyValueStore &platform, PeerNetwork &peers,
                        const MemberView &members, TimerService &timers);
    ~ConfigurationSpread();
    ConfigurationSpread(const ConfigurationSpread &) = delete;
    ConfigurationSpread &operator=(const ConfigurationSpread &) = delete;

    /// Loads from the platform, or from peers while it is down, and keeps up from then on.
    /// Precondition: not started.
    void start();

    /// @p from has @p version, by its heartbeat.
    void versionHeard(const VmId &from, ConfigurationVersion version);

    /// True while this daemon is one of those that watch the platform.
    bool isWatching() const { return m_watching; }
    /// False from a failed call on the platform until one is answered.
    bool isPlatformReachable() const { return m_platformReachable; }

private:
    /// What was asked of a peer and has not come whole yet.
    struct Pull {
        VmId peer;
        MonotonicTime sentAt;
        /// Version of the document whose parts came so far.
        ConfigurationVersion documentVersion;
        QByteArrayList parts;
    };

    bool needsLoad() const;
    void load();
    Milliseconds nextDelay();
    void setPlatformReachable(bool reachable);
    QList<VmId> liveInOwnDataCentre() const;
    void chooseWatchers();
    void watch();
    void watchAnswered(const QList<KeyValue> &entries);
    void watchAgainLater();
    void pullFrom(const VmId &peer);
    void sendPull(int part);
    void answerPull(const VmId &peer, const QCborMap &body);
    std::optional<QCborMap> changesMessage(ConfigurationVersion after) const;
    void takeChanges(const QCborMap &body);
    void takeDocumentPart(const VmId &peer, const QCborMap &body);
    void sendOut();
    void relay(const QCborMap &message, const VmId &root, ConfigurationVersion version);
    void fallBackLater();

    ConfigurationStore &m_store;
    KeyValueStore &m_platform;
    PeerNetwork &m_peers;
    const MemberView &m_members;
    TimerService &m_timers;
    bool m_watching = false;
    /// A watch waits at the platform.
    bool m_watchWaits = false;
    /// The watch goes on after this revision.
    Revision m_watched;
    bool m_platformReachable = true;
    /// Calls on the platform that failed running.
    int m_failures = 0;
    std::optional<Pull> m_pull;
    /// The version in force up to which this daemon sent changes out, or was not to.
    std::optional<ConfigurationVersion> m_sentOut;
    /// For the head of each tree, the last version that was passed on along it.
    std::map<VmId, ConfigurationVersion> m_relayed;
    /// Highest version that a peer told.
    ConfigurationVersion m_heard;
    /// The document in parts as peers pull it, kept for the version it was last made for.
    ConfigurationVersion m_servedVersion;
    QList<QByteArray> m_served;
    std::unique_ptr<TimerSubscription> m_chooser;
    std::unique_ptr<TimerSubscription> m_loadRetry;
    std::unique_ptr<TimerSubscription> m_watchRetry;
    std::unique_ptr<TimerSubscription> m_fallback;
    internal::LifeGuard m_guard;
};

} // namespace cranberry
