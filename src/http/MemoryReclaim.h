#pragma once

#include "base/Units.h"

#include <cstddef>
#include <vector>

namespace cranberry {

/// What a connection holds that can be freed.
struct ReclaimCandidate {
    Bytes held{0};
    /// Time since the request began to arrive or the response was complete.
    Milliseconds age{0};
};

/// Whether @p needed more bytes may be held beside @p held by others. Large requests leave a part
/// of the capacity to small ones. A request that is nearly alone always finds room. Thread-safe.
bool hasRoom(Bytes held, Bytes needed, Bytes capacity);

/// The candidates to free, by index, so that at least @p wanted bytes are freed if possible. Those
/// that hold most and progress least go first. Thread-safe.
std::vector<std::size_t> chooseReclaims(const std::vector<ReclaimCandidate> &candidates,
                                        Bytes wanted);

} // namespace cranberry
