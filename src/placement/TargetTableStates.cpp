#include "placement/TargetTable.h"

#include "placement/ForecastPolicy.h"
#include "placement/PlacementPolicy.h"
#include "placement/TargetState.h"

#include <algorithm>

namespace cranberry {

bool TargetTable::markLeaving(const TargetId &target, Incarnation incarnation)
{
    const std::lock_guard lock(m_mutex);
    TargetState *state = find(target);
    if (!state)
        return false;
    const bool unknown = incarnation == Incarnation(0);
    const Incarnation leavingIncarnation = unknown ? state->incarnation : incarnation;
    if (leavingIncarnation < state->incarnation)
        return false;
    const bool wasActive = !state->leaving;
    state->leaving = true;
    state->leavingIncarnation = std::max(leavingIncarnation, state->leavingIncarnation);
    return wasActive;
}

bool TargetTable::markDead(const TargetId &target)
{
    const std::lock_guard lock(m_mutex);
    TargetState *state = find(target);
    if (!state || state->dead)
        return false;
    state->dead = true;
    return true;
}

void TargetTable::markAlive(const TargetId &target)
{
    const std::lock_guard lock(m_mutex);
    if (TargetState *state = find(target))
        state->dead = false;
}

bool TargetTable::usable(const TargetId &target) const
{
    const std::lock_guard lock(m_mutex);
    const TargetState *state = find(target);
    return state && isUsable(*state);
}

bool TargetTable::isLeaving(const TargetId &target) const
{
    const std::lock_guard lock(m_mutex);
    const TargetState *state = find(target);
    return state && state->leaving;
}

bool TargetTable::isDead(const TargetId &target) const
{
    const std::lock_guard lock(m_mutex);
    const TargetState *state = find(target);
    return state && state->dead;
}

Incarnation TargetTable::incarnation(const TargetId &target) const
{
    const std::lock_guard lock(m_mutex);
    const TargetState *state = find(target);
    return state ? state->incarnation : Incarnation(0);
}

QList<TargetLoad> TargetTable::loads(const StateList &states, const PlacementRequest &request,
                                     MonotonicTime now) const
{
    const SteadyStateSurvival steady = steadyStateForecast(request.service, request.model);
    QList<TargetLoad> usableLoads;
    usableLoads.reserve(qsizetype(states.size()));
    const quint64 prefix = request.prefixHash;
    const quint64 minRank = prefix == 0 ? 0 : minPreferredRank(candidates(request), prefix);
    for (const TargetState *state : states) {
        if (!isUsable(*state))
            continue;
        TargetLoad load = loadOf(*state, steady, now);
        load.preferredForPrefix = prefix != 0 && prefixRank(state->idHash, prefix) >= minRank;
        usableLoads.append(load);
    }
    return usableLoads;
}

QList<TargetLoad> TargetTable::loadsFor(const ModelId &model, MonotonicTime now) const
{
    const std::lock_guard lock(m_mutex);
    const StateList states = m_byModel.value(model);
    PlacementRequest request;
    request.model = model;
    if (!states.empty())
        request.service = states.front()->service;
    return loads(states, request, now);
}

QList<TargetLoad> TargetTable::loadsFor(const ServiceId &service, MonotonicTime now) const
{
    const std::lock_guard lock(m_mutex);
    PlacementRequest request;
    request.service = service;
    return loads(m_byService.value(service), request, now);
}

QList<TargetLoad> TargetTable::allLoads(MonotonicTime now) const
{
    const std::lock_guard lock(m_mutex);
    QList<TargetLoad> all;
    for (const auto &[id, state] : m_targets) {
        if (state.configured)
            all.append(loadOf(state, steadyStateForecast(state.service, {}), now));
    }
    return all;
}

} // namespace cranberry
