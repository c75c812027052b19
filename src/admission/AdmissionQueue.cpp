#include "admission/AdmissionQueue.h"

#include "admission/AdmissionRefusal.h"
#include "base/EventLog.h"
#include "base/TimerSubscription.h"
#include "placement/TargetTable.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

/// Maximum delay of a deadline refusal, and the interval at which waiting requests are retried,
/// since forecasts change with time alone.
constexpr Milliseconds TickInterval{20};
/// Time after which a request without a usable target is refused; most target restarts complete
/// within it.
constexpr Milliseconds NoUsableTargetTimeout{5000};
/// Maximum number of waiting requests, one per workspace, that are tried for one placement.
constexpr int MaxCandidates = 12;
/// Maximum number of times that the first request in order may be bypassed. After that only this
/// request is tried, which prevents starvation.
constexpr int MaxBypasses = 16;
/// An answer takes longer than expected about as often as shorter; twice the expected time covers
/// most answers.
constexpr int AnswerTimeFactor = 2;

Milliseconds elapsed(MonotonicTime since, MonotonicTime now)
{
    return std::chrono::duration_cast<Milliseconds>(now - since);
}

} // namespace

struct AdmissionQueue::Lane {
    WaitingLane waiting;
    WaitEstimate estimate;
    /// Estimates of the workspaces that waited recently. Equal shares of tokens are not equal
    /// shares of placements: a workspace with long answers waits longer than the average of the
    /// lane.
    QHash<WorkspaceId, WaitEstimate> workspaceEstimates;
};

struct AdmissionQueue::Waiter {
    LaneKey lane;
    WorkspaceId workspace;
    Callback callback;
    MonotonicTime since;
    /// The time at which the request is refused.
    MonotonicTime deadline;
    /// Time since which no usable target has been found for the request.
    std::optional<MonotonicTime> noUsableTargetSince;
};

struct AdmissionQueue::Charge {
    ServiceId service;
    WorkspaceId workspace;
    double weight = 1;
    /// Tokens charged at placement that have not been generated yet.
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
    if (const std::optional<TargetId> target = placeImmediately(request)) {
        callback(*target);
        return;
    }
    waitOrRefuse(request, std::move(callback));
}

std::optional<Error> AdmissionQueue::admit(const AdmissionRequest &request)
{
    std::optional<Error> error;
    const WorkspaceId &workspace = request.placement.workspace;
    if (!service(request.placement.service)) {
        error = admissionError(ErrorKind::UnknownService, QStringLiteral("No such service."));
    } else if (!request.retry && !request.remote) {
        const WorkspaceLimits limits = m_configuration->workspaces.value(workspace).limits;
        error =
            acquireSlot(m_limiter, request.placement.request, workspace, limits, m_timers.now());
    }
    if (error)
        logRefusal(request.placement, *error);
    return error;
}

std::optional<TargetId> AdmissionQueue::placeImmediately(const AdmissionRequest &request)
{
    Lane &lane = laneOf(request);
    if (lane.waiting.size > 0)
        return std::nullopt;
    const Placement found = tryPlace(request, false);
    if (found.outcome != PlacementOutcome::Chosen)
        return std::nullopt;
    commitPlacement(request, found, lane, Milliseconds(0));
    return found.target;
}

void AdmissionQueue::waitOrRefuse(const AdmissionRequest &request, Callback callback)
{
    if (const std::optional<Error> error = refusal(request)) {
        requestEnded(request.placement.request);
        callback(*error);
        return;
    }
    addWaiter(request, std::move(callback));
}

// Must be called before the number of waiting requests changes.
void AdmissionQueue::updateWaitEstimates(Lane &lane, const WorkspaceId &workspace)
{
    const MonotonicTime now = m_timers.now();
    recordTime(lane.estimate, now, lane.waiting.size > 0);
    const int own = waitingCount(lane.waiting, workspace);
    if (own == 0 && !lane.workspaceEstimates.contains(workspace))
        return;
    recordTime(lane.workspaceEstimates[workspace], now, own > 0);
}

AdmissionQueue::Lane &AdmissionQueue::laneOf(const AdmissionRequest &request)
{
    return m_lanes[{request.placement.service, request.placement.model}];
}

Milliseconds AdmissionQueue::expectedWaitOf(const AdmissionRequest &request)
{
    Lane &lane = laneOf(request);
    const WorkspaceId &workspace = request.placement.workspace;
    updateWaitEstimates(lane, workspace);
    const double own = 1.0 + double(waitingCount(lane.waiting, workspace));
    const std::optional<Milliseconds> byWorkspace =
        expectedWait(lane.workspaceEstimates.value(workspace), own);
    if (byWorkspace)
        return *byWorkspace;
    const double ahead = requestsAhead(lane.waiting, workspace, weight(workspace));
    return expectedWait(lane.estimate, ahead).value_or(Milliseconds(0));
}

// A request placed too late to finish in time wastes capacity and makes the requests behind it late
// too. At least half of the remaining time may be spent waiting, because length predictions are too
// uncertain to refuse a request for a short deadline alone.
MonotonicTime AdmissionQueue::latestStart(const AdmissionRequest &request) const
{
    const MonotonicTime::duration left = request.deadline - m_timers.now();
    const MonotonicTime::duration answer = m_targets.expectedAnswerTime(request.placement);
    return request.deadline - std::min(answer * AnswerTimeFactor, left / 2);
}

Error AdmissionQueue::deadlineTooShortError(const AdmissionRequest &request,
                                            Milliseconds expected) const
{
    Error error = admissionError(
        ErrorKind::DeadlineTooShort,
        QStringLiteral("The expected wait of %1 ms exceeds the deadline.").arg(expected.count()));
    error.retryAfterSeconds = retryAfterSeconds(expected);
    logRefusal(request.placement, error);
    return error;
}

void AdmissionQueue::grantEnded(const RequestId &request)
{
    m_targets.grantEnded(request, m_timers.now());
    capacityChanged();
}

void AdmissionQueue::recordGrantedAttempt(const AdmissionRequest &request, const TargetId &target,
                                          const std::function<void()> &ended)
{
    m_grantEndCallbacks.insert(request.attempt, ended);
    m_targets.attemptSent(target, request.attempt, request.placement, m_timers.now());
    if (!request.retry)
        addFirstAttempt(m_retries, request.placement.workspace, target);
}

// An early refusal lets the caller go elsewhere or degrade. A request that waits in vain would also
// delay those behind it.
std::optional<Error> AdmissionQueue::refusal(const AdmissionRequest &request)
{
    const PlacementRequest &placement = request.placement;
    const Milliseconds expected = expectedWaitOf(request);
    if (m_timers.now() + expected >= latestStart(request))
        return deadlineTooShortError(request, expected);
    const int limit = service(placement.service)->queueLimit;
    if (waitingIn(placement.service) >= limit && !evictForRequest(request, limit)) {
        Error error = admissionError(
            ErrorKind::QueueFull,
            QStringLiteral("The queue is full: %1 requests are waiting, the limit.").arg(limit));
        error.retryAfterSeconds = retryAfterSeconds(expected);
        logRefusal(placement, error);
        return error;
    }
    return std::nullopt;
}

// A workspace that fills the queue must not exclude the others, so the last request of the
// workspace with the most waiting requests relative to its weight is evicted.
bool AdmissionQueue::evictForRequest(const AdmissionRequest &request, int queueLimit)
{
    const PlacementRequest &placement = request.placement;
    const Lane &lane = laneOf(request);
    const WorkspaceId workspace =
        workspaceToEvict(lane.waiting, placement.workspace, weight(placement.workspace));
    const auto found = lane.waiting.workspaces.find(workspace);
    if (found == lane.waiting.workspaces.end())
        return false;
    const RequestId last = found->second.requests.back().placement.request;
    Error error = admissionError(
        ErrorKind::QueueFull,
        QStringLiteral("The queue is full: %1 requests are waiting, the limit, and the "
                       "workspace has more than its share of them.")
            .arg(queueLimit));
    completeWaiter(last, error);
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

void AdmissionQueue::addWaiter(const AdmissionRequest &request, Callback callback)
{
    Lane &lane = laneOf(request);
    updateWaitEstimates(lane, request.placement.workspace);
    const PlacementRequest &placement = request.placement;
    const auto known = lane.waiting.workspaces.find(placement.workspace);
    if (known == lane.waiting.workspaces.end())
        liftToFloor(m_shares[placement.service], placement.workspace);
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
        return {PlacementOutcome::NoUsableTarget, {}, {}, QStringLiteral("service=gone")};
    PlacementRequest placement = request.placement;
    placement.preferredOnly = preferredOnly;
    if (request.remote) {
        return m_targets.decideGrant(placement, *configured, m_timers.now(), m_random());
    }
    return m_targets.decide(request.attempt, placement, *configured, m_timers.now(), m_random());
}

void AdmissionQueue::commitPlacement(const AdmissionRequest &request, const Placement &placement,
                                     Lane &lane, Milliseconds waited)
{
    const PlacementRequest &placementRequest = request.placement;
    updateWaitEstimates(lane, placementRequest.workspace);
    if (lane.waiting.size > 0)
        recordPlacement(lane.estimate);
    if (waitingCount(lane.waiting, placementRequest.workspace) > 0)
        recordPlacement(lane.workspaceEstimates[placementRequest.workspace]);
    const double ownWeight = weight(placementRequest.workspace);
    ServiceShares &shares = m_shares[placementRequest.service];
    raiseFloor(shares, placementRequest.workspace);
    charge(shares, placementRequest.workspace, placement.expectedTokens, ownWeight);
    if (!request.remote) {
        m_charges.insert(request.attempt,
                         {placementRequest.service, placementRequest.workspace, ownWeight,
                          placement.expectedTokens});
        if (!request.retry)
            addFirstAttempt(m_retries, placementRequest.workspace, placement.target);
    }
    logEvent(LogLevel::Info, EventId::PlacementChosen,
             {{"request", placementRequest.request.text()},
              {"attempt", request.attempt.text()},
              {"service", placementRequest.service.text()},
              {"workspace", placementRequest.workspace.text()},
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
    if (const std::function<void()> ended = m_grantEndCallbacks.take(attempt))
        ended();
    capacityChanged();
}

void AdmissionQueue::requestEnded(const RequestId &request)
{
    releaseSlot(m_limiter, request);
}

bool AdmissionQueue::takeRetry(const WorkspaceId &workspace, const TargetId &target)
{
    return cranberry::takeRetry(m_retries, workspace, target);
}

// A callback may end an attempt or enqueue another request. The loop then runs again, which avoids
// recursion.
void AdmissionQueue::capacityChanged()
{
    m_serveRequested = true;
    if (m_serving || m_waiters.isEmpty())
        return;
    m_serving = true;
    while (m_serveRequested) {
        m_serveRequested = false;
        QList<LaneKey> keys;
        for (const auto &[key, lane] : m_lanes) {
            if (lane.waiting.size > 0)
                keys.append(key);
        }
        for (const LaneKey &key : std::as_const(keys))
            serveLane(key);
    }
    m_serving = false;
}

void AdmissionQueue::serveLane(const LaneKey &key)
{
    while (m_lanes[key].waiting.size > 0 && serveNext(key)) { }
}

// Prefers a request whose prefix is cached on a target with capacity if the request is among the
// first in order: the prefill that the cache saves shortens the inter-token time of all other
// streams on the target.
bool AdmissionQueue::serveNext(const LaneKey &key)
{
    const Lane &lane = m_lanes[key];
    const int candidateLimit = lane.waiting.bypassCount >= MaxBypasses ? 1 : MaxCandidates;
    const QList<AdmissionRequest> order =
        nextRequests(lane.waiting, m_shares[key.service], candidateLimit);
    return servePlaceable(key, order, true) || servePlaceable(key, order, false);
}

bool AdmissionQueue::servePlaceable(const LaneKey &key, const QList<AdmissionRequest> &order,
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
            lane.waiting.bypassCount = i == 0 ? 0 : lane.waiting.bypassCount + 1;
            commitPlacement(request, found, lane, elapsed(waiter.since, m_timers.now()));
            completeWaiter(request.placement.request, found.target);
            return true;
        }
        if (found.outcome == PlacementOutcome::Wait)
            waiter.noUsableTargetSince.reset();
        else if (!waiter.noUsableTargetSince)
            waiter.noUsableTargetSince = m_timers.now();
    }
    return false;
}

void AdmissionQueue::refuseExpired()
{
    const MonotonicTime now = m_timers.now();
    QList<RequestId> expired;
    QList<RequestId> withoutTarget;
    for (auto it = m_waiters.constBegin(); it != m_waiters.constEnd(); ++it) {
        if (it->deadline <= now)
            expired.append(it.key());
        else if (it->noUsableTargetSince && now - *it->noUsableTargetSince >= NoUsableTargetTimeout)
            withoutTarget.append(it.key());
    }
    for (const RequestId &request : std::as_const(expired)) {
        completeWaiter(
            request,
            admissionError(
                ErrorKind::DeadlineExceeded,
                QStringLiteral("No target had capacity in time to answer before the deadline.")));
    }
    for (const RequestId &request : std::as_const(withoutTarget)) {
        completeWaiter(
            request,
            admissionError(ErrorKind::NoTarget,
                           QStringLiteral("No target that serves the request is usable.")));
    }
}

void AdmissionQueue::completeWaiter(const RequestId &request, Result<TargetId> outcome)
{
    const auto found = m_waiters.find(request);
    if (found == m_waiters.end())
        return;
    const Waiter waiter = *found;
    m_waiters.erase(found);
    Lane &lane = m_lanes[waiter.lane];
    updateWaitEstimates(lane, waiter.workspace);
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

// The timer runs only while requests wait.
void AdmissionQueue::armTimer()
{
    if (m_timer)
        return;
    m_timer = m_timers.every(TickInterval, [this] {
        refuseExpired();
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
