#pragma once

#include "base/Units.h"

#include <optional>

namespace cranberry {

/// The memory of this machine; unset if the system does not tell. Thread-safe.
std::optional<Bytes> machineMemory();

} // namespace cranberry
