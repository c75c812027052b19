// Defines the units of the domain: tokens, bytes, versions and times.
#pragma once

#include "base/StrongNumber.h"

#include <chrono>

namespace cranberry {

using Tokens = StrongNumber<struct TokensTag>;
using Bytes = StrongNumber<struct BytesTag>;
/// Version of the configuration document; 0 is "none yet".
using ConfigurationVersion = StrongNumber<struct ConfigurationVersionTag>;
/// Number that only grows with each holder of a lease; targets may refuse a smaller one.
using FencingNumber = StrongNumber<struct FencingNumberTag>;
/// Counts the starts of one VM or target; a greater one replaces what was known of a smaller.
using Incarnation = StrongNumber<struct IncarnationTag>;

using Milliseconds = std::chrono::milliseconds;
/// Time that never steps; for durations and timeouts, meaningless on another VM.
using MonotonicTime = std::chrono::steady_clock::time_point;

} // namespace cranberry
