#pragma once

#include "http/ConnectionClosing.h"

#include <cstddef>
#include <vector>

namespace cranberry {

/// The connections to close, by index, so that new ones find room: at most @p count of those on
/// which no request is in progress. New connections that send nothing go first, then kept ones that
/// were idle longest, then requests that arrive slowly. Thread-safe.
std::vector<std::size_t> chooseReplaced(const std::vector<ConnectionStatus> &connections,
                                        std::size_t count);

} // namespace cranberry
