#pragma once

#include "configuration/Configuration.h"
#include "placement/AttemptEnd.h"
#include "placement/LengthModel.h"
#include "placement/LoadReport.h"
#include "placement/Placement.h"
#include "placement/PlacementRequest.h"
#include "placement/TargetLoad.h"

#include <QHash>
#include <QList>

#include <map>
#include <mutex>
#include <vector>

namespace cranberry {

struct TargetState;

/// The loads of all targets and this daemon's attempts on them. TargetTableStates.cpp implements
/// the methods that mark target states and return loads.
/// Thread safety: every method is thread-safe. The mutex is a leaf lock (docs/LOCKS.md): no other
/// code is called while it is held.
class TargetTable
{
public:
    TargetTable();
    ~TargetTable();
    TargetTable(const TargetTable &) = delete;
    TargetTable &operator=(const TargetTable &) = delete;

    /// Replaces the targets by those of @p configuration. Attempts in progress on a removed target
    /// are still tracked until they end.
    void setConfiguration(const Configuration &configuration);

    /// Assigns each target to a home daemon, one of @p members, by rendezvous hashing of the
    /// target's id. decide() and decideGrant() then choose only targets whose home is @p self.
    /// Without members they choose any target. While daemons have different member views, a target
    /// may have two homes; this can cause preemptions but no incorrect results.
    void setMembers(const VmId &self, const QList<VmId> &members);

    /// Records the load report of @p target. A report of an incarnation older than the known one is
    /// dropped.
    void reportReceived(const TargetId &target, const LoadReport &report, MonotonicTime now);

    /// Decides by the policy of @p service. If a target is chosen, the send of @p attempt is
    /// recorded under the same lock, so that concurrent decisions take each other into account.
    /// Precondition: @p attempt is new. The caller must call attemptEnded().
    Placement decide(const AttemptId &attempt, const PlacementRequest &request,
                     const ServiceConfiguration &service, MonotonicTime now, quint64 random);

    /// As decide(), on behalf of another daemon that makes the send. The send appears in later load
    /// reports; until then the grant keeps the capacity reserved.
    Placement decideGrant(const PlacementRequest &request, const ServiceConfiguration &service,
                          MonotonicTime now, quint64 random);

    /// Ends the grant that decideGrant() recorded for @p request; ignored if unknown.
    void grantEnded(const RequestId &request, MonotonicTime now);

    /// The home daemon, not among @p tried, of the target with the best score for @p request, by
    /// the load reports and this daemon's attempts. Empty if no target is usable.
    VmId suggestHome(const PlacementRequest &request, const ServiceConfiguration &service,
                     const QList<VmId> &tried, MonotonicTime now, quint64 random) const;

    /// Records a send that decide() did not choose, such as a granted or a resumed one.
    void attemptSent(const TargetId &target, const AttemptId &attempt,
                     const PlacementRequest &request, MonotonicTime now);
    /// Counts one generated token of @p attempt; ignored if unknown.
    void tokenReceived(const AttemptId &attempt);
    /// The expected time from the send of @p request to the end of its answer; 0 until an answer of
    /// its service has completed.
    Milliseconds expectedAnswerTime(const PlacementRequest &request) const;
    /// Removes @p attempt; ignored if unknown, so it may be called twice.
    void attemptEnded(const AttemptId &attempt, AttemptEnd end, MonotonicTime now);

    /// Excludes @p target until it is seen with an incarnation newer than @p incarnation; 0 stands
    /// for the currently known one. Ignored if a newer incarnation is known. Returns true if the
    /// target was not marked leaving before.
    bool markLeaving(const TargetId &target, Incarnation incarnation);
    /// Excludes @p target until markAlive() or a report of a newer incarnation. Returns true if it
    /// was not marked dead before.
    bool markDead(const TargetId &target);
    /// Reverts markDead(), but not markLeaving().
    void markAlive(const TargetId &target);

    /// True if new requests may be sent to @p target.
    bool usable(const TargetId &target) const;
    /// True if @p target is leaving and no newer incarnation has been seen; for the status page.
    bool isLeaving(const TargetId &target) const;
    /// True between markDead() and markAlive(); for the status page.
    bool isDead(const TargetId &target) const;
    /// The last reported incarnation of @p target; 0 if unknown.
    Incarnation incarnation(const TargetId &target) const;

    /// The usable targets that serve @p model, ordered by id.
    QList<TargetLoad> loadsFor(const ModelId &model, MonotonicTime now) const;
    /// The usable targets of the plain service @p service, ordered by id.
    QList<TargetLoad> loadsFor(const ServiceId &service, MonotonicTime now) const;
    /// All configured targets, usable or not, ordered by id; for the status page.
    QList<TargetLoad> allLoads(MonotonicTime now) const;

private:
    struct Attempt;

    using StateList = std::vector<const TargetState *>;

    TargetState *find(const TargetId &target);
    const TargetState *find(const TargetId &target) const;
    void indexTargets();
    void assignHomes();
    PlacementRequest withForecast(const PlacementRequest &request) const;
    Placement choose(const PlacementRequest &request, const ServiceConfiguration &service,
                     MonotonicTime now, quint64 random);
    QList<TargetLoad> loads(const StateList &states, const PlacementRequest &request,
                            MonotonicTime now) const;
    SteadyStateSurvival steadyStateForecast(const ServiceId &service, const ModelId &model) const;
    void refreshForecast(Attempt &attempt, TargetState &state);
    const StateList &candidates(const PlacementRequest &request) const;
    void updatePace(const ServiceId &service, qint64 tokens, MonotonicTime::duration took);
    void recordSend(const TargetId &target, const AttemptId &attempt,
                    const PlacementRequest &request, MonotonicTime now);
    void updateRemoteLoad(TargetState &state, const LoadReport &report);
    void endGrant(const RequestId &request, MonotonicTime now);
    void clearGrants(TargetState &state);
    void expireGrants(TargetState &state, MonotonicTime now);

    mutable std::mutex m_mutex;
    std::map<TargetId, TargetState> m_targets;
    QHash<ModelId, StateList> m_byModel;
    QHash<ServiceId, StateList> m_byService;
    QHash<AttemptId, Attempt> m_attempts;
    QHash<RequestId, TargetId> m_grants;
    QHash<ServiceId, quint64> m_roundRobinCounters;
    LengthModel m_lengths;
    /// Exponentially decayed mean of the time per generated token, including prefill.
    QHash<ServiceId, double> m_millisecondsPerToken;
    VmId m_self;
    QList<VmId> m_members;
};

} // namespace cranberry
