#pragma once

#include "base/Units.h"

namespace cranberry {

/// What a response of the store or of another daemon with configuration or targets may hold while
/// callers use all memory: the largest value of the store in base64, and its entries.
constexpr Bytes StateWithoutRoom{4 * 1024 * 1024};

} // namespace cranberry
