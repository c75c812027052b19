#pragma once

#include "base/Result.h"
#include "membership/MemberView.h"
#include "membership/MembershipSettings.h"
#include "membership/MembershipState.h"

#include <QCborMap>
#include <QHash>
#include <QMutex>

#include <functional>
#include <memory>
#include <vector>

namespace cranberry {

class KeyValueStore;
class PeerLinks;
class TimerService;
class TimerSubscription;
struct ListedVm;
struct MembershipOutput;

/// Maintains one daemon's view of the fleet by heartbeats.
/// Connects the pure functions of MembershipRules.h to timers, links, the platform's list of VMs
/// and callbacks.
/// Thread safety: members(), liveMembers() and self() are thread-safe; all else only from the
/// thread of the links. Callbacks run in that thread, may call members of this object, and must
/// not destroy it.
class Membership final : public MemberView
{
public:
    using ChangeCallback = std::function<void(const Member &member)>;
    using VersionCallback = std::function<void(const VmId &from, ConfigurationVersion version)>;
    using BroadcastCallback = std::function<void(const VmId &origin, const QCborMap &body)>;
    using CreditsProvider = std::function<QCborMap(const VmId &to)>;
    using CreditsCallback = std::function<void(const VmId &from, const QCborMap &credits)>;

    /// @p self holds this daemon's VM, its data centre, and the address and port at which other
    /// daemons reach it. Incarnation 0 is replaced by the current time in milliseconds. Nothing
    /// is sent before start(). @p links, @p platform and @p timers outlive the membership.
    Membership(TimerService &timers, PeerLinks &links, KeyValueStore &platform, Member self,
               MembershipSettings settings = MembershipSettings());
    ~Membership() override;

    /// Reads the platform's list of VMs and starts sending heartbeats. Precondition: called once.
    void start();

    VmId self() const override;
    QList<Member> members() const override;
    QList<Member> liveMembers() const override;

    /// Announces to every neighbour at once that this daemon is leaving. Heartbeats continue.
    void setLeaving();
    /// Announces to every neighbour at once that @p version is in force on this daemon.
    void setConfigurationVersion(ConfigurationVersion version);

    /// Called with each member whose state or incarnation changed, this daemon included.
    void onChange(ChangeCallback callback);
    /// Called for each heartbeat with a greater configuration version than this daemon's.
    void onNewerVersion(VersionCallback callback);

    /// Sends @p body to every daemon by gossip, best effort, within a few hundred milliseconds at
    /// fleet size. A daemon that joins later does not receive it. Returns false if it exceeds
    /// MembershipSettings::maxBroadcastBytes. Precondition: @p kind is Quarantine or
    /// TargetLeaving.
    bool broadcast(PeerMessageKind kind, const QCborMap &body);
    /// Called once for each broadcast of another daemon. One callback per kind.
    void onBroadcast(PeerMessageKind kind, BroadcastCallback callback);

    /// @p provider returns the credits to attach to each heartbeat. Credits that exceed
    /// MembershipSettings::maxCreditBytes are left out.
    void setCreditsProvider(CreditsProvider provider);
    /// Called with the credits of each heartbeat that has any.
    void onCredits(CreditsCallback callback);

private:
    void subscribe();
    void tick();
    void apply(const MembershipOutput &output);
    void send(const MembershipOutput &output);
    void notifyCallbacks(const MembershipOutput &output);
    void publish();
    void listVms();
    void applyListedVms(const QList<ListedVm> &vms);
    void scheduleListing(bool succeeded);

    TimerService &m_timers;
    PeerLinks &m_links;
    KeyValueStore &m_platform;
    MembershipState m_state;
    std::vector<ChangeCallback> m_changeCallbacks;
    std::vector<VersionCallback> m_versionCallbacks;
    QHash<int, BroadcastCallback> m_broadcastCallbacks;
    CreditsProvider m_creditsProvider;
    CreditsCallback m_creditsCallback;
    std::unique_ptr<TimerSubscription> m_tickTimer;
    std::unique_ptr<TimerSubscription> m_urgentTickTimer;
    std::unique_ptr<TimerSubscription> m_listTimer;
    Milliseconds m_listRetryBackoff{0};
    bool m_isListing = false;
    bool m_wasIsolated = false;
    /// Expires with this object, so that later answers of the platform are ignored.
    std::shared_ptr<bool> m_aliveToken;
    /// Guards only the two lists below; no other lock is taken while it is held.
    mutable QMutex m_publishedMutex;
    QList<Member> m_publishedMembers;
    QList<Member> m_publishedLiveMembers;
};

} // namespace cranberry
