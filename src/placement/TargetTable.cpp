#include "placement/TargetTable.h"

#include "membership/RendezvousHash.h"
#include "placement/ForecastPolicy.h"
#include "placement/PlacementPolicy.h"
#include "placement/TargetState.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Ended sends are needed only until a report created after their end arrives.
constexpr size_t MaxEndedSends = 256;
/// Number of generated tokens after which the forecast of an attempt is refreshed.
constexpr qint64 ForecastRefreshTokens = 8;
/// Weight of the newest sample in the mean time per token of a service.
constexpr double PaceSmoothingFactor = 0.02;
/// Time from a grant until the granted request runs on the target.
constexpr Milliseconds GrantToSendDelay{20};
/// Maximum age of the sums over a target's grants; a request generates a few tokens in this time.
constexpr Milliseconds GrantSumsMaxAge{40};
/// A grant expires when its request has ended with high probability, or at the maximum age.
constexpr double MinGrantSurvival = 0.01;
constexpr Milliseconds MaxGrantAge{600'000};
/// Score advantage, as a fraction of a target's memory, of targets whose home is this daemon: a
/// grant from another home costs a message.
constexpr double LocalHomeBonus = 0.05;

LengthKey lengthKey(const PlacementRequest &request)
{
    return {request.service, request.model, request.workspace};
}

} // namespace

struct TargetTable::Attempt {
    TargetId target;
    PlacementRequest request;
    MonotonicTime sentAt;
    LengthDistribution length;
    MemoryForecast forecast;
    qint64 generated = 0;
};

TargetTable::TargetTable() = default;
TargetTable::~TargetTable() = default;

TargetState *TargetTable::find(const TargetId &target)
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? nullptr : &found->second;
}

const TargetState *TargetTable::find(const TargetId &target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? nullptr : &found->second;
}

void TargetTable::setConfiguration(const Configuration &configuration)
{
    const std::lock_guard lock(m_mutex);
    for (auto &[id, state] : m_targets)
        state.configured = false;
    for (auto it = configuration.targets.begin(); it != configuration.targets.end(); ++it) {
        TargetState &state = m_targets[it.key()];
        state.target = it.key();
        state.service = it->service;
        state.dataCentre = it->dataCentre;
        state.models = it->models;
        state.configured = true;
        state.idHash = targetIdHash(it.key());
    }
    for (auto it = m_targets.begin(); it != m_targets.end();) {
        const bool gone = !it->second.configured && it->second.ownAttempts.isEmpty();
        it = gone ? m_targets.erase(it) : std::next(it);
    }
    assignHomes();
    indexTargets();
}

void TargetTable::setMembers(const VmId &self, const QList<VmId> &members)
{
    const std::lock_guard lock(m_mutex);
    m_self = self;
    m_members = members;
    assignHomes();
}

void TargetTable::assignHomes()
{
    for (auto &[id, state] : m_targets)
        state.home = rendezvousOwner(id.text(), m_members);
}

void TargetTable::indexTargets()
{
    m_byModel.clear();
    m_byService.clear();
    for (const auto &[id, state] : m_targets) {
        if (!state.configured)
            continue;
        m_byService[state.service].push_back(&state);
        for (const ModelId &model : state.models)
            m_byModel[model].push_back(&state);
    }
}

void TargetTable::reportReceived(const TargetId &target, const LoadReport &report,
                                 MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    TargetState *state = find(target);
    if (!state || report.incarnation < state->incarnation)
        return;
    const bool newer = report.incarnation > state->incarnation;
    state->incarnation = report.incarnation;
    if (newer) {
        state->dead = false;
        clearGrants(*state);
    }
    if (newer && report.incarnation > state->leavingIncarnation)
        state->leaving = false;
    if (report.leaving) {
        state->leaving = true;
        state->leavingIncarnation = report.incarnation;
    }
    state->report = report;
    state->reportCreatedAt = now - report.age;
    expireGrants(*state, now);
    updateRemoteLoad(*state, report);
}

// A report includes this daemon's requests, also those that ended after it was created. The
// remainder belongs to other daemons.
void TargetTable::updateRemoteLoad(TargetState &state, const LoadReport &report)
{
    const MonotonicTime createdAt = state.reportCreatedAt;
    Tokens resident = report.residentTokens;
    int requests = report.running + report.waiting;
    for (const AttemptId &id : std::as_const(state.ownAttempts)) {
        const Attempt &attempt = m_attempts[id];
        if (attempt.sentAt <= createdAt) {
            resident -= attempt.request.promptTokens + Tokens(attempt.generated);
            --requests;
        }
    }
    while (!state.endedSends.empty() && state.endedSends.front().endedAt <= createdAt)
        state.endedSends.pop_front();
    for (const OwnSend &send : state.endedSends) {
        if (send.sentAt <= createdAt) {
            resident -= send.tokens;
            --requests;
        }
    }
    for (const Grant &grant : state.grants) {
        if (grant.grantedAt + GrantToSendDelay <= createdAt) {
            resident -= grant.promptTokens + estimatedGeneratedTokens(grant, createdAt);
            --requests;
        }
    }
    state.remoteResidentTokens = std::max(resident, Tokens(0));
    state.remoteRequests = std::max(requests, 0);
}

// Requests of an earlier incarnation ended with it.
void TargetTable::clearGrants(TargetState &state)
{
    for (const Grant &grant : state.grants)
        m_grants.remove(grant.request);
    state.grants.clear();
    state.grantForecast = {};
    state.grantResidentTokens = Tokens(0);
    state.grantPrefillTokens = Tokens(0);
}

const TargetTable::StateList &TargetTable::candidates(const PlacementRequest &request) const
{
    static const StateList none;
    if (!request.model.isEmpty()) {
        const auto found = m_byModel.constFind(request.model);
        return found == m_byModel.constEnd() ? none : *found;
    }
    const auto found = m_byService.constFind(request.service);
    return found == m_byService.constEnd() ? none : *found;
}

PlacementRequest TargetTable::withForecast(const PlacementRequest &request) const
{
    PlacementRequest result = request;
    const LengthDistribution length = m_lengths.distribution(lengthKey(request), request.maxTokens);
    result.expectedMemory = forecastRequest(length, request.promptTokens, Tokens(0));
    result.expectedTokens = Tokens(qint64(remainingLength(length, Tokens(0)).mean));
    return result;
}

Placement TargetTable::choose(const PlacementRequest &request, const ServiceConfiguration &service,
                              MonotonicTime now, quint64 random)
{
    StateList own;
    for (const TargetState *state : candidates(request)) {
        if (usesHomeDaemons(service) && !isHomeDaemon(*state, m_self))
            continue;
        own.push_back(state);
        if (!state->grants.empty() && now - state->grantSumsUpdatedAt > GrantSumsMaxAge)
            recomputeGrantSums(*find(state->target), now);
    }
    const bool isRoundRobin = service.policy == PolicyName::RoundRobin;
    const quint64 draw = isRoundRobin ? m_roundRobinCounters[request.service]++ : random;
    Placement placement = place(request, service, loads(own, request, now), draw);
    placement.expectedTokens = request.expectedTokens;
    return placement;
}

Placement TargetTable::decide(const AttemptId &attempt, const PlacementRequest &request,
                              const ServiceConfiguration &service, MonotonicTime now,
                              quint64 random)
{
    const std::lock_guard lock(m_mutex);
    Placement placement = choose(withForecast(request), service, now, random);
    if (placement.outcome == PlacementOutcome::Chosen)
        recordSend(placement.target, attempt, request, now);
    return placement;
}

Placement TargetTable::decideGrant(const PlacementRequest &request,
                                   const ServiceConfiguration &service, MonotonicTime now,
                                   quint64 random)
{
    const std::lock_guard lock(m_mutex);
    const PlacementRequest requestWithForecast = withForecast(request);
    Placement placement = choose(requestWithForecast, service, now, random);
    if (placement.outcome == PlacementOutcome::Chosen) {
        endGrant(request.request, now); // a repeated request replaces its unused grant
        TargetState *state = find(placement.target);
        state->grants.push_back({request.request, now, request.promptTokens,
                                 m_lengths.distribution(lengthKey(request), request.maxTokens),
                                 m_millisecondsPerToken.value(request.service)});
        m_grants.insert(request.request, placement.target);
        addToGrantSums(*state, state->grants.back(), now);
    }
    return placement;
}

void TargetTable::grantEnded(const RequestId &request, MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    endGrant(request, now);
}

void TargetTable::endGrant(const RequestId &request, MonotonicTime now)
{
    TargetState *state = find(m_grants.take(request));
    if (!state)
        return;
    const auto same = [&](const Grant &grant) { return grant.request == request; };
    const auto found = std::find_if(state->grants.begin(), state->grants.end(), same);
    if (found == state->grants.end())
        return;
    const Tokens held = found->promptTokens + estimatedGeneratedTokens(*found, now);
    state->endedSends.push_back({found->grantedAt, now, held});
    state->grants.erase(found);
    recomputeGrantSums(*state, now);
}

// The message that ends a grant can get lost, and the requesting daemon can crash. A request that
// is still running then appears in the load reports as one of another daemon.
void TargetTable::expireGrants(TargetState &state, MonotonicTime now)
{
    const auto old = [&](const Grant &grant) {
        const bool gone =
            survivalAt(grant.length, double(estimatedGeneratedTokens(grant, now).value()))
                < MinGrantSurvival
            || now - grant.grantedAt > MaxGrantAge;
        if (gone)
            m_grants.remove(grant.request);
        return gone;
    };
    state.grants.erase(std::remove_if(state.grants.begin(), state.grants.end(), old),
                       state.grants.end());
    recomputeGrantSums(state, now);
}

VmId TargetTable::suggestHome(const PlacementRequest &request, const ServiceConfiguration &service,
                              const QList<VmId> &tried, MonotonicTime now, quint64 random) const
{
    const std::lock_guard lock(m_mutex);
    const PlacementRequest requestWithForecast = withForecast(request);
    const ForecastSettings settings = forecastSettings(service);
    const QList<TargetLoad> usable = loads(candidates(request), request, now);
    const auto count = usable.size();
    VmId best;
    double bestScore = 0;
    for (qsizetype i = 0; i < count; ++i) {
        const TargetLoad &load = usable[(i + qsizetype(random % quint64(count))) % count];
        const TargetState *state = find(load.target);
        if (request.excluded.contains(load.target) || tried.contains(state->home))
            continue;
        const double bonus = isHomeDaemon(*state, m_self) ? LocalHomeBonus : 0;
        const double score = placementScore(requestWithForecast, settings, load) - bonus;
        if (best.isEmpty() || score < bestScore) {
            best = state->home;
            bestScore = score;
        }
    }
    return best;
}

void TargetTable::attemptSent(const TargetId &target, const AttemptId &attempt,
                              const PlacementRequest &request, MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    recordSend(target, attempt, request, now);
}

void TargetTable::recordSend(const TargetId &target, const AttemptId &attempt,
                             const PlacementRequest &request, MonotonicTime now)
{
    TargetState *state = find(target);
    if (!state || m_attempts.contains(attempt))
        return;
    Attempt sent{target, request, now, {}, {}, 0};
    sent.length = m_lengths.distribution(lengthKey(request), request.maxTokens);
    refreshForecast(sent, *state);
    m_attempts.insert(attempt, sent);
    state->ownAttempts.insert(attempt);
    state->ownResidentTokens += request.promptTokens;
    state->ownPrefillTokens += request.promptTokens;
}

void TargetTable::refreshForecast(Attempt &attempt, TargetState &state)
{
    const Tokens generated(attempt.generated);
    state.ownForecast -= attempt.forecast;
    attempt.forecast =
        forecastRequest(attempt.length, attempt.request.promptTokens + generated, generated);
    state.ownForecast += attempt.forecast;
}

void TargetTable::tokenReceived(const AttemptId &attempt)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return;
    TargetState *state = find(found->target);
    if (found->generated == 0)
        state->ownPrefillTokens -= found->request.promptTokens;
    ++found->generated;
    state->ownResidentTokens += Tokens(1);
    if (found->generated % ForecastRefreshTokens == 0)
        refreshForecast(*found, *state);
}

void TargetTable::attemptEnded(const AttemptId &attempt, AttemptEnd end, MonotonicTime now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return;
    const Tokens held = found->request.promptTokens + Tokens(found->generated);
    TargetState *state = find(found->target);
    state->ownAttempts.remove(attempt);
    state->ownResidentTokens -= held;
    if (found->generated == 0)
        state->ownPrefillTokens -= found->request.promptTokens;
    state->endedSends.push_back({found->sentAt, now, held});
    if (state->endedSends.size() > MaxEndedSends)
        state->endedSends.pop_front();
    state->ownForecast -= found->forecast;
    if (state->ownAttempts.isEmpty())
        state->ownForecast = {}; // discards accumulated rounding errors
    if (end == AttemptEnd::Finished) {
        m_lengths.addCompleted(lengthKey(found->request), Tokens(found->generated));
        updatePace(found->request.service, found->generated, now - found->sentAt);
    } else if (found->generated > 0)
        m_lengths.addCensored(lengthKey(found->request), Tokens(found->generated));
    const TargetId target = found->target;
    m_attempts.erase(found);
    if (!state->configured && state->ownAttempts.isEmpty())
        m_targets.erase(target);
}

void TargetTable::updatePace(const ServiceId &service, qint64 tokens, MonotonicTime::duration took)
{
    if (tokens <= 0)
        return;
    const std::chrono::duration<double, std::milli> milliseconds = took;
    const double pace = milliseconds.count() / double(tokens);
    double &mean = m_millisecondsPerToken[service];
    mean = mean > 0 ? mean + (pace - mean) * PaceSmoothingFactor : pace;
}

Milliseconds TargetTable::expectedAnswerTime(const PlacementRequest &request) const
{
    const std::lock_guard lock(m_mutex);
    const double pace = m_millisecondsPerToken.value(request.service);
    const double tokens = double(withForecast(request).expectedTokens.value());
    return Milliseconds(qint64(pace * tokens));
}

SteadyStateSurvival TargetTable::steadyStateForecast(const ServiceId &service,
                                                     const ModelId &model) const
{
    return forecastSteadyState(m_lengths.distribution({service, model, {}}, Tokens(0)));
}

} // namespace cranberry
