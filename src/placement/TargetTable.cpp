#include "placement/TargetTable.h"

#include "membership/RendezvousHash.h"
#include "placement/ForecastPolicy.h"
#include "placement/PlacementPolicy.h"
#include "placement/TargetState.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Sends that ended are needed only until a report made after their end arrives.
constexpr size_t EndedSends = 256;
/// A forecast is renewed each time a request has gained so many tokens.
constexpr qint64 TokensBetweenForecasts = 8;
/// Weight of the newest answer in the mean pace of a service.
constexpr double PaceWeight = 0.02;
/// From a grant to the start of the granted send on the target.
constexpr Milliseconds GrantFlight{20};
/// How long the sums over a target's grants are used; a request gains a few tokens in it.
constexpr Milliseconds GrantCountLifetime{40};
/// A grant whose request has most probably ended, or that is older than this, is forgotten.
constexpr double LeastGrantSurvival = 0.01;
constexpr Milliseconds GrantLifetime{600'000};
/// How much worse, as a part of its memory, another daemon's target may look before a request
/// is asked of its home: each ask is a message.
constexpr double OwnTargetBonus = 0.05;

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
        state.idHash = hashOf(it.key());
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
        forgetGrants(*state);
    }
    if (newer && report.incarnation > state->leavingIncarnation)
        state->leaving = false;
    if (report.leaving) {
        state->leaving = true;
        state->leavingIncarnation = report.incarnation;
    }
    state->report = report;
    state->reportMadeAt = now - report.age;
    dropOldGrants(*state, now);
    subtractOwn(*state, report);
}

// A report counts this daemon's requests too, those that ended after it was made included;
// what is left belongs to other daemons.
void TargetTable::subtractOwn(TargetState &state, const LoadReport &report)
{
    const MonotonicTime madeAt = state.reportMadeAt;
    Tokens resident = report.residentTokens;
    int requests = report.running + report.waiting;
    for (const AttemptId &id : std::as_const(state.ownAttempts)) {
        const Attempt &attempt = m_attempts[id];
        if (attempt.sentAt <= madeAt) {
            resident -= attempt.request.promptTokens + Tokens(attempt.generated);
            --requests;
        }
    }
    while (!state.endedSends.empty() && state.endedSends.front().endedAt <= madeAt)
        state.endedSends.pop_front();
    for (const OwnSend &send : state.endedSends) {
        if (send.sentAt <= madeAt) {
            resident -= send.tokens;
            --requests;
        }
    }
    for (const Grant &grant : state.grants) {
        if (grant.grantedAt + GrantFlight <= madeAt) {
            resident -= grant.promptTokens + generatedBy(grant, madeAt);
            --requests;
        }
    }
    state.othersResidentTokens = std::max(resident, Tokens(0));
    state.othersRequests = std::max(requests, 0);
}

// What ran on an earlier incarnation is gone with it.
void TargetTable::forgetGrants(TargetState &state)
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

PlacementRequest TargetTable::sized(const PlacementRequest &request) const
{
    PlacementRequest sized = request;
    const LengthDistribution length = m_lengths.distribution(lengthKey(request), request.maxTokens);
    sized.growth = forecastRequest(length, request.promptTokens, Tokens(0));
    sized.expectedTokens = Tokens(qint64(remainingLength(length, Tokens(0)).mean));
    return sized;
}

Placement TargetTable::choose(const PlacementRequest &request, const ServiceConfiguration &service,
                              MonotonicTime now, quint64 random)
{
    StateList own;
    for (const TargetState *state : candidates(request)) {
        if (givenOutByHomes(service) && !isOwn(*state, m_self))
            continue;
        own.push_back(state);
        if (!state->grants.empty() && now - state->grantsCountedAt > GrantCountLifetime)
            countGrants(*find(state->target), now);
    }
    const bool inTurn = service.policy == PolicyName::RoundRobin;
    const quint64 draw = inTurn ? m_turns[request.service]++ : random;
    Placement placement = place(request, service, loads(own, request, now), draw);
    placement.expectedTokens = request.expectedTokens;
    return placement;
}

Placement TargetTable::decide(const AttemptId &attempt, const PlacementRequest &request,
                              const ServiceConfiguration &service, MonotonicTime now,
                              quint64 random)
{
    const std::lock_guard lock(m_mutex);
    Placement placement = choose(sized(request), service, now, random);
    if (placement.outcome == PlacementOutcome::Chosen)
        recordSend(placement.target, attempt, request, now);
    return placement;
}

Placement TargetTable::decideGrant(const PlacementRequest &request,
                                   const ServiceConfiguration &service, MonotonicTime now,
                                   quint64 random)
{
    const std::lock_guard lock(m_mutex);
    const PlacementRequest sizedRequest = sized(request);
    Placement placement = choose(sizedRequest, service, now, random);
    if (placement.outcome == PlacementOutcome::Chosen) {
        endGrant(request.request, now); // one that asks again does not use what it was granted
        TargetState *state = find(placement.target);
        state->grants.push_back({request.request, now, request.promptTokens,
                                 m_lengths.distribution(lengthKey(request), request.maxTokens),
                                 m_millisecondsPerToken.value(request.service)});
        m_grants.insert(request.request, placement.target);
        countGrant(*state, state->grants.back(), now);
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
    const Tokens held = found->promptTokens + generatedBy(*found, now);
    state->endedSends.push_back({found->grantedAt, now, held});
    state->grants.erase(found);
    countGrants(*state, now);
}

// The message that ends a grant may be lost, and the one who asked may have died. The report
// still shows a request that runs on, as another daemon's.
void TargetTable::dropOldGrants(TargetState &state, MonotonicTime now)
{
    const auto old = [&](const Grant &grant) {
        const bool gone =
            survivalAt(grant.length, double(generatedBy(grant, now).value())) < LeastGrantSurvival
            || now - grant.grantedAt > GrantLifetime;
        if (gone)
            m_grants.remove(grant.request);
        return gone;
    };
    state.grants.erase(std::remove_if(state.grants.begin(), state.grants.end(), old),
                       state.grants.end());
    countGrants(state, now);
}

VmId TargetTable::suggestHome(const PlacementRequest &request, const ServiceConfiguration &service,
                              const QList<VmId> &tried, MonotonicTime now, quint64 random) const
{
    const std::lock_guard lock(m_mutex);
    const PlacementRequest sizedRequest = sized(request);
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
        const double bonus = isOwn(*state, m_self) ? OwnTargetBonus : 0;
        const double score = placementScore(sizedRequest, settings, load) - bonus;
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
    if (found->generated % TokensBetweenForecasts == 0)
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
    if (state->endedSends.size() > EndedSends)
        state->endedSends.pop_front();
    state->ownForecast -= found->forecast;
    if (state->ownAttempts.isEmpty())
        state->ownForecast = {}; // drops what rounding left
    if (end == AttemptEnd::Finished) {
        m_lengths.finished(lengthKey(found->request), Tokens(found->generated));
        learnPace(found->request.service, found->generated, now - found->sentAt);
    } else if (found->generated > 0)
        m_lengths.cutOff(lengthKey(found->request), Tokens(found->generated));
    const TargetId target = found->target;
    m_attempts.erase(found);
    if (!state->configured && state->ownAttempts.isEmpty())
        m_targets.erase(target);
}

void TargetTable::learnPace(const ServiceId &service, qint64 tokens, MonotonicTime::duration took)
{
    if (tokens <= 0)
        return;
    const std::chrono::duration<double, std::milli> milliseconds = took;
    const double pace = milliseconds.count() / double(tokens);
    double &mean = m_millisecondsPerToken[service];
    mean = mean > 0 ? mean + (pace - mean) * PaceWeight : pace;
}

Milliseconds TargetTable::expectedAnswerTime(const PlacementRequest &request) const
{
    const std::lock_guard lock(m_mutex);
    const double pace = m_millisecondsPerToken.value(request.service);
    const double tokens = double(sized(request).expectedTokens.value());
    return Milliseconds(qint64(pace * tokens));
}

SteadyForecast TargetTable::steadyForecast(const ServiceId &service, const ModelId &model) const
{
    return forecastSteady(m_lengths.distribution({service, model, {}}, Tokens(0)));
}

} // namespace cranberry
