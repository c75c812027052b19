#include "admission/AdmissionQueue.h"

#include "admission/AdmissionRefusal.h"
#include "base/EventLog.h"
#include "base/TimerSubscription.h"
#include "placement/TargetTable.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// How soon after its deadline a waiting request gets its answer, and how often a forecast
/// that changes with time alone is looked at again.
constexpr Milliseconds TickInterval{20};
/// A target that restarts is back within this time more often than not.
constexpr Milliseconds NoneUsableGrace{5000};
/// Requests that are tried when the first in turn finds no room.
constexpr int TurnsTried = 12;
/// After so many passes a lane waits for the one in turn, so that nobody starves.
constexpr int MostPasses = 16;
/// Answers take longer than expected as often as shorter; this covers most.
constexpr int AnswerTimeMargin = 2;
Milliseconds passedSince(MonotonicTime since, MonotonicTime now)
{
    return std::chrono::duration_cast<Milliseconds>(now - since);
}

} // namespace

struct AdmissionQueue::Lane {
    WaitingLane waiting;
    WaitEstimate estimate;
    /// Of the workspaces that waited lately. Equal shares of tokens are not equal shares of
    /// turns: one with long answers waits longer than the lane as a whole.
    QHash<WorkspaceId, WaitEstimate> workspaceEstimates;
};

struct AdmissionQueue::Waiter {
    LaneKey lane;
    WorkspaceId workspace;
    Callback callback;
    MonotonicTime since;
    /// When it gives up.
    MonotonicTime deadline;
    /// Since when no usable target was found for it.
    std::optional<MonotonicTime> noneUsableSince;
};

struct AdmissionQueue::Charge {
    ServiceId service;
    WorkspaceId workspace;
    double weight = 1;
    /// Tokens that were charged at placement and are not generated yet.
    Tokens prepaid;
};

AdmissionQueue::AdmissionQueue(TimerService &timers, TargetTable &targets, RandomSource random)
    : m_timers(timers)
    , m_targets(targets)
    , m_random(std::move(random))
    , m_configuration(std::make_shared<const Configuration>())
{
}

AdmissionQueue::~AdmissionQueue() = default;

void AdmissionQueue::setConfiguration(std::shared_ptr<const Configuration> configuration)
{
    m_configuration = std::move(configuration);
    capacityChanged();
}

const ServiceConfiguration *AdmissionQueue::service(const ServiceId &id) const
{
    const auto found = m_configuration->services.constFind(id);
    return found == m_configuration->services.constEnd() ? nullptr : &*found;
}

double AdmissionQueue::weight(const WorkspaceId &workspace) const
{
    const double configured = m_configuration->workspaces.value(workspace).weight;
    return configured > 0 ? configured : 1.0;
}

void AdmissionQueue::enqueue(const AdmissionRequest &request, Callback callback)
{
    if (const std::optional<Error> error = admit(request)) {
        callback(*error);
        return;
    }
    if (const std::optional<TargetId> target = tryNow(request)) {
        callback(*target);
        return;
    }
    waitTurn(request, std::move(callback));
}

std::optional<Error> AdmissionQueue::admit(const AdmissionRequest &request)
{
    std::optional<Error> error;
    const WorkspaceId &workspace = request.placement.workspace;
    if (!service(request.placement.service)) {
        error = admissionError(ErrorKind::UnknownService, QStringLiteral("No such service."));
    } else if (!request.retry && !request.remote) {
        const WorkspaceLimits limits = m_configuration->workspaces.value(workspace).limits;
        error = enter(m_limiter, request.placement.request, workspace, limits, m_timers.now());
    }
    if (error)
        logRefusal(request.placement, *error);
    return error;
}

std::optional<TargetId> AdmissionQueue::tryNow(const AdmissionRequest &request)
{
    Lane &lane = laneOf(request);
    if (lane.waiting.size > 0)
        return std::nullopt;
    const Placement found = tryPlace(request, false);
    if (found.outcome != PlacementOutcome::Chosen)
        return std::nullopt;
    placed(request, found, lane, Milliseconds(0));
    return found.target;
}

void AdmissionQueue::waitTurn(const AdmissionRequest &request, Callback callback)
{
    if (const std::optional<Error> error = refusal(request)) {
        requestEnded(request.placement.request);
        callback(*error);
        return;
    }
    wait(request, std::move(callback));
}

// Called before the number of waiting requests changes.
void AdmissionQueue::countWaiting(Lane &lane, const WorkspaceId &workspace)
{
    const MonotonicTime now = m_timers.now();
    countTime(lane.estimate, now, lane.waiting.size > 0);
    const int own = requestsOf(lane.waiting, workspace);
    if (own == 0 && !lane.workspaceEstimates.contains(workspace))
        return;
    countTime(lane.workspaceEstimates[workspace], now, own > 0);
}

AdmissionQueue::Lane &AdmissionQueue::laneOf(const AdmissionRequest &request)
{
    return m_lanes[{request.placement.service, request.placement.model}];
}

Milliseconds AdmissionQueue::expectedWaitOf(const AdmissionRequest &request)
{
    Lane &lane = laneOf(request);
    const WorkspaceId &workspace = request.placement.workspace;
    countWaiting(lane, workspace);
    const double own = 1.0 + double(requestsOf(lane.waiting, workspace));
    const std::optional<Milliseconds> byWorkspace =
        expectedWait(lane.workspaceEstimates.value(workspace), own);
    if (byWorkspace)
        return *byWorkspace;
    const double ahead = requestsAhead(lane.waiting, workspace, weight(workspace));
    return expectedWait(lane.estimate, ahead).value_or(Milliseconds(0));
}

// A request that is placed too late to be answered in time takes room for nothing, and those
// behind it then are late too. Half of the time left may always be spent on waiting: what is
// known of lengths is too little to refuse a caller for a short deadline alone.
MonotonicTime AdmissionQueue::latestStart(const AdmissionRequest &request) const
{
    const MonotonicTime::duration left = request.deadline - m_timers.now();
    const MonotonicTime::duration answer = m_targets.expectedAnswerTime(request.placement);
    return request.deadline - std::min(answer * AnswerTimeMargin, left / 2);
}

Error AdmissionQueue::tooShort(const AdmissionRequest &request, Milliseconds expected) const
{
    Error error = admissionError(
        ErrorKind::DeadlineTooShort,
        QStringLiteral("The expected wait of %1 ms passes the deadline.").arg(expected.count()));
    error.retryAfterSeconds = retryAfterSeconds(expected);
    logRefusal(request.placement, error);
    return error;
}

void AdmissionQueue::grantEnded(const RequestId &request)
{
    m_targets.grantEnded(request, m_timers.now());
    capacityChanged();
}

void AdmissionQueue::recordGranted(const AdmissionRequest &request, const TargetId &target,
                                   const std::function<void()> &ended)
{
    m_granted.insert(request.attempt, ended);
    m_targets.attemptSent(target, request.attempt, request.placement, m_timers.now());
    if (!request.retry)
        addFirstAttempt(m_retries, request.placement.workspace, target);
}

// A caller that cannot be served in time learns it at once and can go elsewhere or degrade;
// letting it wait for nothing would also keep those behind it from their turn.
std::optional<Error> AdmissionQueue::refusal(const AdmissionRequest &request)
{
    const PlacementRequest &placement = request.placement;
    const Milliseconds expected = expectedWaitOf(request);
    if (m_timers.now() + expected >= latestStart(request))
        return tooShort(request, expected);
    const int limit = service(placement.service)->queueLimit;
    if (waitingIn(placement.service) >= limit && !makeRoom(request, limit)) {
        Error error = admissionError(ErrorKind::QueueFull,
                                     QStringLiteral("%1 requests wait, the limit.").arg(limit));
        error.retryAfterSeconds = retryAfterSeconds(expected);
        logRefusal(placement, error);
        return error;
    }
    return std::nullopt;
}

// One workspace that fills the queue must not shut the others out of it, so the last request
// of whoever waits with most for its weight makes room.
bool AdmissionQueue::makeRoom(const AdmissionRequest &request, int queueLimit)
{
    const PlacementRequest &placement = request.placement;
    const Lane &lane = laneOf(request);
    const WorkspaceId crowding =
        crowdingWorkspace(lane.waiting, placement.workspace, weight(placement.workspace));
    const auto found = lane.waiting.workspaces.find(crowding);
    if (found == lane.waiting.workspaces.end())
        return false;
    const RequestId last = found->second.requests.back().placement.request;
    Error error =
        admissionError(ErrorKind::QueueFull,
                       QStringLiteral("%1 requests wait, the limit, and the workspace has "
                                      "more than its share of them.")
                           .arg(queueLimit));
    finish(last, error);
    return waitingIn(placement.service) < queueLimit;
}

int AdmissionQueue::waitingIn(const ServiceId &service) const
{
    int count = 0;
    for (const auto &[key, lane] : m_lanes) {
        if (key.service == service)
            count += lane.waiting.size;
    }
    return count;
}

void AdmissionQueue::wait(const AdmissionRequest &request, Callback callback)
{
    Lane &lane = laneOf(request);
    countWaiting(lane, request.placement.workspace);
    const PlacementRequest &placement = request.placement;
    const auto known = lane.waiting.workspaces.find(placement.workspace);
    if (known == lane.waiting.workspaces.end())
        startWaiting(m_shares[placement.service], placement.workspace);
    insert(lane.waiting, request, weight(placement.workspace));
    m_waiters.insert(placement.request,
                     {{placement.service, placement.model},
                      placement.workspace,
                      std::move(callback),
                      m_timers.now(),
                      latestStart(request),
                      std::nullopt});
    logEvent(LogLevel::Info, EventId::PlacementWaiting,
             {{"request", placement.request.text()},
              {"service", placement.service.text()},
              {"workspace", placement.workspace.text()},
              {"waiting", QString::number(lane.waiting.size)}});
    armTimer();
}

Placement AdmissionQueue::tryPlace(const AdmissionRequest &request, bool preferredOnly)
{
    const ServiceConfiguration *configured = service(request.placement.service);
    if (!configured)
        return {PlacementOutcome::NoneUsable, {}, {}, QStringLiteral("service=gone")};
    PlacementRequest placement = request.placement;
    placement.preferredOnly = preferredOnly;
    if (request.remote) {
        return m_targets.decideGrant(placement, *configured, m_timers.now(), m_random());
    }
    return m_targets.decide(request.attempt, placement, *configured, m_timers.now(), m_random());
}

void AdmissionQueue::placed(const AdmissionRequest &request, const Placement &placement, Lane &lane,
                            Milliseconds waited)
{
    const PlacementRequest &what = request.placement;
    countWaiting(lane, what.workspace);
    if (lane.waiting.size > 0)
        countPlacement(lane.estimate);
    if (requestsOf(lane.waiting, what.workspace) > 0)
        countPlacement(lane.workspaceEstimates[what.workspace]);
    const double ownWeight = weight(what.workspace);
    ServiceShares &shares = m_shares[what.service];
    startServing(shares, what.workspace);
    charge(shares, what.workspace, placement.expectedTokens, ownWeight);
    if (!request.remote) {
        m_charges.insert(request.attempt,
                         {what.service, what.workspace, ownWeight, placement.expectedTokens});
        if (!request.retry)
            addFirstAttempt(m_retries, what.workspace, placement.target);
    }
    logEvent(LogLevel::Info, EventId::PlacementChosen,
             {{"request", what.request.text()},
              {"attempt", request.attempt.text()},
              {"service", what.service.text()},
              {"workspace", what.workspace.text()},
              {"target", placement.target.text()},
              {"waited_ms", QString::number(waited.count())},
              {"why", placement.reason}});
}

void AdmissionQueue::cancel(const RequestId &request)
{
    const auto found = m_waiters.find(request);
    if (found == m_waiters.end())
        return;
    const Waiter waiter = *found;
    m_waiters.erase(found);
    remove(m_lanes[waiter.lane].waiting, waiter.workspace, request);
    requestEnded(request);
}

void AdmissionQueue::tokenReceived(const AttemptId &attempt)
{
    m_targets.tokenReceived(attempt);
    const auto found = m_charges.find(attempt);
    if (found == m_charges.end())
        return;
    if (found->prepaid > Tokens(0)) {
        found->prepaid -= Tokens(1);
        return;
    }
    charge(m_shares[found->service], found->workspace, Tokens(1), found->weight);
}

void AdmissionQueue::attemptEnded(const AttemptId &attempt, AttemptEnd end)
{
    m_targets.attemptEnded(attempt, end, m_timers.now());
    const auto found = m_charges.find(attempt);
    if (found != m_charges.end()) {
        const Tokens unused = Tokens(0) - found->prepaid;
        charge(m_shares[found->service], found->workspace, unused, found->weight);
        m_charges.erase(found);
    }
    if (const std::function<void()> ended = m_granted.take(attempt))
        ended();
    capacityChanged();
}

void AdmissionQueue::requestEnded(const RequestId &request)
{
    leave(m_limiter, request);
}

bool AdmissionQueue::takeRetry(const WorkspaceId &workspace, const TargetId &target)
{
    return cranberry::takeRetry(m_retries, workspace, target);
}

// A callback may end an attempt or enqueue another request; the loop then runs once more
// instead of going into itself.
void AdmissionQueue::capacityChanged()
{
    m_serveAgain = true;
    if (m_serving || m_waiters.isEmpty())
        return;
    m_serving = true;
    while (m_serveAgain) {
        m_serveAgain = false;
        QList<LaneKey> keys;
        for (const auto &[key, lane] : m_lanes) {
            if (lane.waiting.size > 0)
                keys.append(key);
        }
        for (const LaneKey &key : std::as_const(keys))
            serve(key);
    }
    m_serving = false;
}

void AdmissionQueue::serve(const LaneKey &key)
{
    while (m_lanes[key].waiting.size > 0 && serveOne(key)) { }
}

// Room on a target goes to a request whose prefix is wanted there, if one is near its turn;
// prompt work that the cache saves is time between tokens for everyone else on the target.
bool AdmissionQueue::serveOne(const LaneKey &key)
{
    const Lane &lane = m_lanes[key];
    const int tried = lane.waiting.passed >= MostPasses ? 1 : TurnsTried;
    const QList<AdmissionRequest> order = turns(lane.waiting, m_shares[key.service], tried);
    return serveFirstOf(key, order, true) || serveFirstOf(key, order, false);
}

bool AdmissionQueue::serveFirstOf(const LaneKey &key, const QList<AdmissionRequest> &order,
                                  bool preferredOnly)
{
    Lane &lane = m_lanes[key];
    for (qsizetype i = 0; i < order.size(); ++i) {
        const AdmissionRequest &request = order[i];
        if (preferredOnly && request.placement.prefixHash == 0)
            continue;
        Waiter &waiter = m_waiters[request.placement.request];
        const Placement found = tryPlace(request, preferredOnly);
        if (found.outcome == PlacementOutcome::Chosen) {
            lane.waiting.passed = i == 0 ? 0 : lane.waiting.passed + 1;
            placed(request, found, lane, passedSince(waiter.since, m_timers.now()));
            finish(request.placement.request, found.target);
            return true;
        }
        if (found.outcome == PlacementOutcome::Wait)
            waiter.noneUsableSince.reset();
        else if (!waiter.noneUsableSince)
            waiter.noneUsableSince = m_timers.now();
    }
    return false;
}

void AdmissionQueue::giveUpExpired()
{
    const MonotonicTime now = m_timers.now();
    QList<RequestId> late;
    QList<RequestId> targetless;
    for (auto it = m_waiters.constBegin(); it != m_waiters.constEnd(); ++it) {
        if (it->deadline <= now)
            late.append(it.key());
        else if (it->noneUsableSince && now - *it->noneUsableSince >= NoneUsableGrace)
            targetless.append(it.key());
    }
    for (const RequestId &request : std::as_const(late)) {
        finish(request,
               admissionError(
                   ErrorKind::DeadlineExceeded,
                   QStringLiteral("No target had room in time to answer before the deadline.")));
    }
    for (const RequestId &request : std::as_const(targetless)) {
        finish(request,
               admissionError(ErrorKind::NoTarget,
                              QStringLiteral("No target that serves the request is usable.")));
    }
}

void AdmissionQueue::finish(const RequestId &request, Result<TargetId> outcome)
{
    const auto found = m_waiters.find(request);
    if (found == m_waiters.end())
        return;
    const Waiter waiter = *found;
    m_waiters.erase(found);
    Lane &lane = m_lanes[waiter.lane];
    countWaiting(lane, waiter.workspace);
    remove(lane.waiting, waiter.workspace, request);
    if (outcome.has_value()) {
        waiter.callback(std::move(outcome));
        return;
    }
    PlacementRequest refused;
    refused.request = request;
    refused.service = waiter.lane.service;
    refused.workspace = waiter.workspace;
    requestEnded(request);
    logRefusal(refused, outcome.error());
    waiter.callback(std::move(outcome));
}

// The timer only runs while somebody waits.
void AdmissionQueue::armTimer()
{
    if (m_timer)
        return;
    m_timer = m_timers.every(TickInterval, [this] {
        giveUpExpired();
        capacityChanged();
        if (m_waiters.isEmpty())
            m_timer.reset();
    });
}

int AdmissionQueue::waiting() const
{
    return int(m_waiters.size());
}

} // namespace cranberry
