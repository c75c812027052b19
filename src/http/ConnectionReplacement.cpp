#include "http/ConnectionReplacement.h"

#include <algorithm>
#include <optional>

namespace cranberry {

namespace {

/// The first request of a new connection usually follows at once, and arrives as a whole.
constexpr Milliseconds RequestDelay{1000};

/// Lower ranks are closed first; none for a connection that stays.
std::optional<int> replacementRank(const ConnectionStatus &status)
{
    switch (status.state) {
    case ConnectionState::Lingering:
        return 0;
    case ConnectionState::AwaitingFirst:
        return status.idle > RequestDelay ? 1 : 4;
    case ConnectionState::AwaitingNext:
        return 2;
    case ConnectionState::Receiving:
        return status.receiving > RequestDelay ? 3 : 5;
    case ConnectionState::Answering:
    case ConnectionState::Streaming:
    case ConnectionState::Ended:
        break;
    }
    return std::nullopt;
}

} // namespace

std::vector<std::size_t> chooseReplaced(const std::vector<ConnectionStatus> &connections,
                                        std::size_t count)
{
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < connections.size(); ++i) {
        if (replacementRank(connections[i]))
            chosen.push_back(i);
    }
    std::stable_sort(chosen.begin(), chosen.end(), [&](std::size_t left, std::size_t right) {
        const int leftRank = *replacementRank(connections[left]);
        const int rightRank = *replacementRank(connections[right]);
        return leftRank != rightRank ? leftRank < rightRank
                                     : connections[left].idle > connections[right].idle;
    });
    chosen.resize(std::min(count, chosen.size()));
    return chosen;
}

} // namespace cranberry
