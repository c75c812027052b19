// Defines AnswerMetrics, what callers experienced, for the metrics.
#pragma once

#include "base/ErrorKind.h"
#include "base/LatencyHistogram.h"

#include <array>

namespace cranberry {

/// Only grows. No workspace is named: what one workspace does is nobody else's to see.
struct AnswerMetrics {
    qint64 completed = 0;
    std::array<qint64, ErrorKindCount> failedByKind{};
    LatencyHistogram timeToFirstToken;
    LatencyHistogram interTokenLatency;
};

} // namespace cranberry
