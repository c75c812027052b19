#include "http/CallerMemory.h"

#include "http/CallerConnection.h"
#include "http/MemoryReclaim.h"

#include <limits>
#include <memory>
#include <vector>

namespace cranberry {

namespace {

/// Part of the capacity that is freed beyond what is needed, so that connections are not searched
/// for each request.
constexpr qint64 ExtraFraction = 8;

} // namespace

CallerMemory::CallerMemory()
    : m_capacity(std::numeric_limits<qint64>::max())
{
}

bool CallerMemory::hasRoomFor(Bytes own) const
{
    return hasRoom(Bytes(m_held.value() - own.value()), own, m_capacity);
}

bool CallerMemory::makeRoomFor(Bytes own)
{
    if (hasRoomFor(own))
        return true;
    const Bytes extra(m_capacity.value() / ExtraFraction);
    reclaim(Bytes(m_held.value() - m_capacity.value() + 2 * extra.value()));
    return hasRoomFor(own);
}

void CallerMemory::reclaim(Bytes wanted)
{
    if (m_isReclaiming)
        return;
    m_isReclaiming = true;
    std::vector<std::shared_ptr<CallerConnection>> connections;
    std::vector<ReclaimCandidate> candidates;
    for (CallerConnection *connection : std::as_const(m_connections)) {
        const ReclaimCandidate candidate = connection->reclaimCandidate();
        if (candidate.held.value() <= 0)
            continue;
        connections.push_back(connection->shared_from_this());
        candidates.push_back(candidate);
    }
    for (const std::size_t index : chooseReclaims(candidates, wanted)) {
        ++m_reclaimed;
        connections[index]->reclaim();
    }
    m_isReclaiming = false;
}

} // namespace cranberry
