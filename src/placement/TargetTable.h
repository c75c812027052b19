// Defines TargetTable, what this daemon knows of the targets and of its own sends to them.
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

/// Thread safety: every method is thread-safe. Its mutex is a leaf lock (docs/LOCKS.md): it is
/// never held while calling out.
class TargetTable
{
public:
    TargetTable();
    ~TargetTable();
    TargetTable(const TargetTable &) = delete;
    TargetTable &operator=(const TargetTable &) = delete;

    /// Takes over the targets of @p configuration. Sends under way to a target that went are
    /// still followed to their end.
    void setConfiguration(const Configuration &configuration);

    /// Makes each target's home the one of @p members that its id hashes to; decide() and
    /// decideGrant() then give out only the targets whose home is @p self. Without members
    /// every target is given out. Daemons with other views of the members may both be home of
    /// a target for a while: that costs preemptions, never correctness.
    void setMembers(const VmId &self, const QList<VmId> &members);

    /// Records what @p target said; a report of an older incarnation than known is dropped.
    void reportReceived(const TargetId &target, const LoadReport &report, MonotonicTime now);

    /// Decides by the policy of @p service and, if a target is chosen, records the send of
    /// @p attempt under the same lock, so that concurrent decisions see each other.
    /// Precondition: @p attempt was not used before. The caller must tell its end.
    Placement decide(const AttemptId &attempt, const PlacementRequest &request,
                     const ServiceConfiguration &service, MonotonicTime now, quint64 random);

    /// As decide(), for another daemon that will send. Its send is seen in load reports later;
    /// until then the room stays taken.
    Placement decideGrant(const PlacementRequest &request, const ServiceConfiguration &service,
                          MonotonicTime now, quint64 random);

    /// Ends what decideGrant() recorded for @p request; ignored if unknown.
    void grantEnded(const RequestId &request, MonotonicTime now);

    /// The home, not among @p tried, of the target that looks best for @p request by the
    /// lagging reports and own sends; empty if none is usable.
    VmId suggestHome(const PlacementRequest &request, const ServiceConfiguration &service,
                     const QList<VmId> &tried, MonotonicTime now, quint64 random) const;

    /// Records a send that was not chosen by decide(), such as a granted or a resumed one.
    void attemptSent(const TargetId &target, const AttemptId &attempt,
                     const PlacementRequest &request, MonotonicTime now);
    /// Counts one generated token of @p attempt. Unknown attempts are ignored.
    void tokenReceived(const AttemptId &attempt);
    /// How long an answer to @p request is expected to take once it is sent; 0 until answers
    /// of its service have ended.
    Milliseconds expectedAnswerTime(const PlacementRequest &request) const;
    /// Forgets @p attempt. Unknown attempts are ignored, so it may be told twice.
    void attemptEnded(const AttemptId &attempt, AttemptEnd end, MonotonicTime now);

    /// Takes @p target out until it is seen with a newer incarnation than @p incarnation; 0
    /// stands for the one known now. Ignored if a newer one is known. True if it was in before.
    bool markLeaving(const TargetId &target, Incarnation incarnation);
    /// Takes @p target out until markBack() or a report of a newer incarnation. True if it was
    /// in before.
    bool markDead(const TargetId &target);
    /// Undoes markDead(), not markLeaving().
    void markBack(const TargetId &target);

    /// True if new work may go to @p target.
    bool usable(const TargetId &target) const;
    /// True if @p target was seen leaving and not started anew since; for the status page.
    bool isLeaving(const TargetId &target) const;
    /// True between markDead() and markBack(); for the status page.
    bool isDead(const TargetId &target) const;
    /// The incarnation of @p target as last reported; 0 if unknown.
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
    PlacementRequest sized(const PlacementRequest &request) const;
    Placement choose(const PlacementRequest &request, const ServiceConfiguration &service,
                     MonotonicTime now, quint64 random);
    QList<TargetLoad> loads(const StateList &states, const PlacementRequest &request,
                            MonotonicTime now) const;
    SteadyForecast steadyForecast(const ServiceId &service, const ModelId &model) const;
    void refreshForecast(Attempt &attempt, TargetState &state);
    const StateList &candidates(const PlacementRequest &request) const;
    void learnPace(const ServiceId &service, qint64 tokens, MonotonicTime::duration took);
    void recordSend(const TargetId &target, const AttemptId &attempt,
                    const PlacementRequest &request, MonotonicTime now);
    void subtractOwn(TargetState &state, const LoadReport &report);
    void endGrant(const RequestId &request, MonotonicTime now);
    void forgetGrants(TargetState &state);
    void dropOldGrants(TargetState &state, MonotonicTime now);

    mutable std::mutex m_mutex;
    std::map<TargetId, TargetState> m_targets;
    QHash<ModelId, StateList> m_byModel;
    QHash<ServiceId, StateList> m_byService;
    QHash<AttemptId, Attempt> m_attempts;
    QHash<RequestId, TargetId> m_grants;
    QHash<ServiceId, quint64> m_turns;
    LengthModel m_lengths;
    /// Decayed mean of the time between two tokens, prompt work included.
    QHash<ServiceId, double> m_millisecondsPerToken;
    VmId m_self;
    QList<VmId> m_members;
};

} // namespace cranberry
