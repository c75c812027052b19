// Defines Membership, which keeps one daemon's view of the others by heartbeats.
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

/// The shell around MembershipRules: timers, links, the platform's list of VMs, callbacks.
/// Thread safety: members(), liveMembers() and self() are thread-safe; all else only from the
/// thread of the links. Callbacks run in that thread, may call back in, and must not destroy
/// the membership.
class Membership final : public MemberView
{
public:
    using ChangeCallback = std::function<void(const Member &member)>;
    using VersionCallback = std::function<void(const VmId &from, ConfigurationVersion version)>;
    using DeltaCallback = std::function<void(const VmId &origin, const QCborMap &body)>;
    using CreditsProvider = std::function<QCborMap(const VmId &to)>;
    using CreditsCallback = std::function<void(const VmId &from, const QCborMap &credits)>;

    /// @p self names this daemon, its data centre and the address and port that others reach it
    /// at; incarnation 0 takes the time of the start in milliseconds. Nothing is sent before
    /// start(). @p links, @p platform and @p timers outlive the membership.
    Membership(TimerService &timers, PeerLinks &links, KeyValueStore &platform, Member self,
               MembershipSettings settings = MembershipSettings());
    ~Membership() override;

    /// Reads the platform's list of VMs and begins to send heartbeats. Precondition: called once.
    void start();

    VmId self() const override;
    QList<Member> members() const override;
    QList<Member> liveMembers() const override;

    /// Tells every neighbour at once that this daemon is leaving. It goes on with heartbeats.
    void setLeaving();
    /// Tells every neighbour at once that this daemon has @p version in force.
    void setConfigurationVersion(ConfigurationVersion version);

    /// Called with each member whose state or incarnation changed, this daemon included.
    void onChange(ChangeCallback callback);
    /// Called for each heartbeat with a version over this daemon's.
    void onVersionHeard(VersionCallback callback);

    /// Spreads @p body to every daemon, a few hundred milliseconds at fleet size, best effort. A
    /// daemon that joins later does not hear of it. False if it is larger than the bound.
    /// Precondition: @p kind is Quarantine or TargetLeaving.
    bool addDelta(PeerMessageKind kind, const QCborMap &body);
    /// Called once for each delta of another daemon. One callback a kind.
    void onDelta(PeerMessageKind kind, DeltaCallback callback);

    /// What goes along on each heartbeat to @p to; left out if it is over the bound.
    void setCreditsProvider(CreditsProvider provider);
    /// Called with the credits of a heartbeat, if it has any.
    void onCredits(CreditsCallback callback);

private:
    void subscribe();
    void tick();
    void apply(const MembershipOutput &output);
    void send(const MembershipOutput &output);
    void report(const MembershipOutput &output);
    void publish();
    void listVms();
    void takeSeeds(const QList<ListedVm> &vms);
    void scheduleList(bool succeeded);

    TimerService &m_timers;
    PeerLinks &m_links;
    KeyValueStore &m_platform;
    MembershipState m_state;
    std::vector<ChangeCallback> m_changeCallbacks;
    std::vector<VersionCallback> m_versionCallbacks;
    QHash<int, DeltaCallback> m_deltaCallbacks;
    CreditsProvider m_creditsProvider;
    CreditsCallback m_creditsCallback;
    std::unique_ptr<TimerSubscription> m_ticks;
    std::unique_ptr<TimerSubscription> m_urgentTick;
    std::unique_ptr<TimerSubscription> m_nextList;
    Milliseconds m_listRetry{0};
    bool m_listing = false;
    bool m_isolated = false;
    /// Lets answers of the platform that come after the destruction fall silent.
    std::shared_ptr<bool> m_life;
    /// Guards the two lists below only; no other lock is taken while it is held.
    mutable QMutex m_publishedMutex;
    QList<Member> m_published;
    QList<Member> m_publishedLive;
};

} // namespace cranberry
