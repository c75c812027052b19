#pragma once

#include "base/Ids.h"

#include <QList>

#include <functional>
#include <optional>

namespace cranberry {

/// A daemon that may take a forwarded request.
struct ForwardCandidate {
    VmId vm;
    bool isSameDataCentre = false;
    /// A message of it arrived within the last few seconds. Daemons of other data centres of a
    /// large fleet send none.
    bool isHeard = false;
    /// Requests that this daemon has forwarded to it and that are not over.
    int outstanding = 0;
};

/// Chooses the daemon with the fewest outstanding requests, where one in another data centre counts
/// as having more, and one that was not heard as well; a random one of equals. @p random returns a
/// number from 0 to its argument - 1. Unset if there is no candidate. Thread-safe if @p random is.
std::optional<VmId> chooseForwardPeer(const QList<ForwardCandidate> &candidates,
                                      const std::function<int(int)> &random);

} // namespace cranberry
