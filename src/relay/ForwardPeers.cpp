#include "relay/ForwardPeers.h"

#include <limits>

namespace cranberry {

namespace {

/// Requests in progress that a daemon of the same data centre may have more than one of another,
/// before the slower way is worth it.
constexpr int OtherDataCentrePenalty = 2;
/// As above, for a daemon that may have ended or be partitioned as well.
constexpr int UnheardPenalty = 4;

int costOf(const ForwardCandidate &candidate)
{
    return candidate.outstanding + (candidate.isSameDataCentre ? 0 : OtherDataCentrePenalty)
        + (candidate.isHeard ? 0 : UnheardPenalty);
}

} // namespace

std::optional<VmId> chooseForwardPeer(const QList<ForwardCandidate> &candidates,
                                      const std::function<int(int)> &random)
{
    int lowest = std::numeric_limits<int>::max();
    QList<VmId> best;
    for (const ForwardCandidate &candidate : candidates) {
        const int cost = costOf(candidate);
        if (cost > lowest)
            continue;
        if (cost < lowest)
            best.clear();
        lowest = cost;
        best.append(candidate.vm);
    }
    if (best.isEmpty())
        return std::nullopt;
    return best.at(random(int(best.size())));
}

} // namespace cranberry
