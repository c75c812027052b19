#include "placement/TargetState.h"

#include <QCryptographicHash>
#include <QtEndian>

#include <algorithm>
#include <array>
#include <functional>

namespace cranberry {

namespace {

/// Two preferred targets for a prefix leave an alternative when one is full.
constexpr size_t PreferredTargetsPerPrefix = 2;
} // namespace

bool isUsable(const TargetState &state)
{
    return state.configured && !state.dead && !state.leaving;
}

bool isHomeDaemon(const TargetState &state, const VmId &self)
{
    return state.home.isEmpty() || state.home == self;
}

quint64 targetIdHash(const TargetId &target)
{
    const QByteArray hash =
        QCryptographicHash::hash(target.text().toUtf8(), QCryptographicHash::Sha1);
    return qFromBigEndian<quint64>(hash.constData());
}

/// Rendezvous hashing with the finalizer of SplitMix64, which is cheap enough to compute for every
/// target in every decision.
quint64 prefixRank(quint64 idHash, quint64 prefixHash)
{
    quint64 mixed = idHash ^ prefixHash;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

/// The lowest rank among the first PreferredTargetsPerPrefix usable targets.
quint64 minPreferredRank(const std::vector<const TargetState *> &states, quint64 prefixHash)
{
    std::array<quint64, PreferredTargetsPerPrefix> first{};
    for (const TargetState *state : states) {
        const quint64 rank = isUsable(*state) ? prefixRank(state->idHash, prefixHash) : 0;
        if (rank > first.back()) {
            first.back() = rank;
            std::sort(first.begin(), first.end(), std::greater<>());
        }
    }
    return first.back();
}

Tokens estimatedGeneratedTokens(const Grant &grant, MonotonicTime now)
{
    if (grant.millisecondsPerToken <= 0)
        return Tokens(0);
    const std::chrono::duration<double, std::milli> passed = now - grant.grantedAt;
    return Tokens(qint64(std::max(0.0, passed.count()) / grant.millisecondsPerToken));
}

void addToGrantSums(TargetState &state, const Grant &grant, MonotonicTime now)
{
    const Tokens generated = estimatedGeneratedTokens(grant, now);
    const Tokens held = grant.promptTokens + generated;
    state.grantForecast += forecastRequest(grant.length, held, generated);
    state.grantResidentTokens += held;
    if (generated == Tokens(0))
        state.grantPrefillTokens += grant.promptTokens;
}

void recomputeGrantSums(TargetState &state, MonotonicTime now)
{
    state.grantForecast = {};
    state.grantResidentTokens = Tokens(0);
    state.grantPrefillTokens = Tokens(0);
    state.grantSumsUpdatedAt = now;
    for (const Grant &grant : state.grants)
        addToGrantSums(state, grant, now);
}

TargetLoad loadOf(const TargetState &state, const SteadyStateSurvival &steady, MonotonicTime now)
{
    TargetLoad load;
    load.target = state.target;
    load.dataCentre = state.dataCentre;
    load.residentTokens = state.remoteResidentTokens + state.ownResidentTokens;
    load.capacityTokens = state.report.capacityTokens;
    load.running = state.report.running;
    load.waiting = state.report.waiting;
    load.reportAge = std::chrono::duration_cast<Milliseconds>(now - state.reportCreatedAt);
    load.ownRequests = int(state.ownAttempts.size());
    load.remoteRequests = state.remoteRequests;
    load.ownResidentTokens = state.ownResidentTokens;
    load.ownPrefillTokens = state.ownPrefillTokens;
    load.forecast =
        forecastRemoteRequests(steady, state.remoteRequests, state.remoteResidentTokens);
    load.forecast += state.ownForecast;
    load.forecast += state.grantForecast;
    load.residentTokens += state.grantResidentTokens;
    load.ownPrefillTokens += state.grantPrefillTokens;
    load.remoteRequests += int(state.grants.size());
    return load;
}

} // namespace cranberry
