#include "http/MemoryReclaim.h"

#include <algorithm>
#include <numeric>

namespace cranberry {

namespace {

/// Requests up to this size may use the whole capacity.
constexpr Bytes SmallRequest{64 * 1024};
/// Part of the capacity that only small requests use.
constexpr qint64 ReservedFraction = 8;
/// Of new holders the largest goes first.
constexpr double MinAgeSeconds = 0.001;

double byteSeconds(const ReclaimCandidate &candidate)
{
    const double seconds = std::chrono::duration<double>(candidate.age).count();
    return double(candidate.held.value()) * std::max(seconds, MinAgeSeconds);
}

} // namespace

bool hasRoom(Bytes held, Bytes needed, Bytes capacity)
{
    const Bytes reserved(capacity.value() / ReservedFraction);
    if (held <= reserved)
        return true;
    const Bytes limit =
        needed <= SmallRequest ? capacity : Bytes(capacity.value() - reserved.value());
    return held + needed <= limit;
}

std::vector<std::size_t> chooseReclaims(const std::vector<ReclaimCandidate> &candidates,
                                        Bytes wanted)
{
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t(0));
    std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return byteSeconds(candidates[left]) > byteSeconds(candidates[right]);
    });
    std::size_t count = 0;
    for (Bytes freed{0}; count < order.size() && freed < wanted; ++count)
        freed += candidates[order[count]].held;
    order.resize(count);
    return order;
}

} // namespace cranberry
