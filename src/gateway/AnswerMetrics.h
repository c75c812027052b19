#pragma once

#include "base/ErrorKind.h"
#include "base/LatencyHistogram.h"

#include <array>

namespace cranberry {

/// Outcomes and latencies of the answers to callers, for the metrics. All values only grow. They
/// are not split by workspace, because the metrics must not reveal the activity of a workspace.
struct AnswerMetrics {
    qint64 completed = 0;
    std::array<qint64, ErrorKindCount> failedByKind{};
    LatencyHistogram timeToFirstToken;
    LatencyHistogram interTokenLatency;
};

} // namespace cranberry
