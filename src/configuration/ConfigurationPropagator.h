#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "configuration/CallbackGuard.h"
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

/// Delivers accepted changes to this daemon and forwards them to others. Two daemons per data
/// centre, chosen by rendezvous hashing among the live members, watch the platform's key-value
/// service and broadcast new changes along a tree of the daemons in their data centre. A daemon
/// that misses a broadcast learns the version from a heartbeat and pulls the changes from the
/// sender of the heartbeat. The load on the platform's service is thus independent of the number of
/// daemons. Correctness does not depend on this class, since it only transfers accepted changes.
/// Thread safety: only from its own thread.
class ConfigurationPropagator
{
public:
    /// Precondition: the arguments outlive the propagator.
    ConfigurationPropagator(ConfigurationStore &store, KeyValueStore &platform, PeerNetwork &peers,
                            const MemberView &members, TimerService &timers);
    ~ConfigurationPropagator();
    ConfigurationPropagator(const ConfigurationPropagator &) = delete;
    ConfigurationPropagator &operator=(const ConfigurationPropagator &) = delete;

    /// Loads the configuration from the platform, or from peers while the platform is unreachable,
    /// and keeps it up to date from then on. Precondition: not started.
    void start();

    /// Notifies this object that a heartbeat of @p from reported @p version.
    void onPeerVersion(const VmId &from, ConfigurationVersion version);

    /// True while this daemon is one of the watchers of its data centre.
    bool isWatching() const { return m_watching; }
    /// False from a failed call to the platform until the next successful one.
    bool isPlatformReachable() const { return m_platformReachable; }

private:
    /// A request to a peer whose response is not complete yet.
    struct Pull {
        VmId peer;
        MonotonicTime sentAt;
        /// Version of the document that the received parts belong to.
        ConfigurationVersion documentVersion;
        QByteArrayList parts;
    };

    bool needsLoad() const;
    void load();
    Milliseconds nextRetryDelay();
    void setPlatformReachable(bool reachable);
    QList<VmId> liveMembersInOwnDataCentre() const;
    void selectWatchers();
    void watch();
    void onWatchResult(const QList<KeyValue> &entries);
    void scheduleWatchRetry();
    void startPull(const VmId &peer);
    void sendPull(int part);
    void answerPull(const VmId &peer, const QCborMap &body);
    std::optional<QCborMap> changesMessage(ConfigurationVersion after) const;
    void onChangesReceived(const QCborMap &body);
    void onDocumentPartReceived(const VmId &peer, const QCborMap &body);
    void broadcastNewChanges();
    void relay(const QCborMap &message, const VmId &root, ConfigurationVersion version);
    void scheduleFallbackLoad();

    ConfigurationStore &m_store;
    KeyValueStore &m_platform;
    PeerNetwork &m_peers;
    const MemberView &m_members;
    TimerService &m_timers;
    bool m_watching = false;
    /// A watch call to the platform is outstanding.
    bool m_isWatchPending = false;
    /// The next watch waits for revisions after this one.
    Revision m_watchedRevision;
    bool m_platformReachable = true;
    /// Consecutive failed calls to the platform.
    int m_consecutiveFailures = 0;
    std::optional<Pull> m_pull;
    /// Version in force at the last call of broadcastNewChanges(), whether or not this daemon
    /// broadcast it. Absent before the first call.
    std::optional<ConfigurationVersion> m_lastInForceVersion;
    /// For the root of each tree, the last version that was relayed along the tree.
    std::map<VmId, ConfigurationVersion> m_relayedVersions;
    /// Highest version reported by a peer.
    ConfigurationVersion m_highestPeerVersion;
    /// Version of the document in m_servedParts.
    ConfigurationVersion m_servedVersion;
    /// Cached parts of the document, in the form in which peers pull them.
    QList<QByteArray> m_servedParts;
    std::unique_ptr<TimerSubscription> m_watcherSelectionTimer;
    std::unique_ptr<TimerSubscription> m_loadRetryTimer;
    std::unique_ptr<TimerSubscription> m_watchRetryTimer;
    std::unique_ptr<TimerSubscription> m_fallbackTimer;
    internal::CallbackGuard m_guard;
};

} // namespace cranberry
