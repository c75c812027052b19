#pragma once

#include "base/StrongNumber.h"

#include <chrono>

namespace cranberry {

using Tokens = StrongNumber<struct TokensTag>;
using Bytes = StrongNumber<struct BytesTag>;
/// Version of the configuration document; 0 if there is none yet.
using ConfigurationVersion = StrongNumber<struct ConfigurationVersionTag>;
/// Fencing token: increases with each holder of a lease; targets may reject a smaller one.
using FencingNumber = StrongNumber<struct FencingNumberTag>;
/// Number of starts of a VM or target; state with a greater number replaces state with a smaller
/// one.
using Incarnation = StrongNumber<struct IncarnationTag>;

using Milliseconds = std::chrono::milliseconds;
/// Monotonic time for durations and timeouts; not comparable between VMs.
using MonotonicTime = std::chrono::steady_clock::time_point;

} // namespace cranberry
