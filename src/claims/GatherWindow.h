// Defines how long claims of a shard are gathered for one write.
#pragma once

#include "base/Units.h"

namespace cranberry {

/// The window after a write of @p batch claims that were gathered in @p window: longer while
/// claims come together, shorter and then zero when they come alone. Thread-safe.
Milliseconds nextGatherWindow(Milliseconds window, qsizetype batch, Milliseconds longest);

} // namespace cranberry
