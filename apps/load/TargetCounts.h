// Defines TargetCounts, what stand-in targets and daemons counted up to a moment.
#pragma once

#include <QHash>
#include <QList>
#include <QString>

#include <vector>

namespace cranberry::test {
class FleetClient;
}

namespace cranberry::load {

struct LoadMetrics;
struct LoadTargets;
struct RequestResult;

/// Of one target.
struct TargetCount {
    qint64 preemptions = 0;
    qint64 tokens = 0;
    /// Runs by prompt hash.
    QHash<QString, int> runs;
};

struct TargetCounts {
    QList<TargetCount> targets;
    qint64 retries = 0;
    qint64 resumes = 0;
};

/// Asks all targets (GET /runs) and daemons (GET /metrics); one that does not answer counts
/// as zero. Runs the event loop while it waits.
TargetCounts readCounts(test::FleetClient &client, const LoadTargets &targets);

/// Adds what happened between @p before and @p after to @p metrics, and judges the @p results
/// against the runs: what ran twice, or ran though its caller was told that it did not. A
/// target that restarted in between counts from its restart.
void recordCounts(LoadMetrics &metrics, const TargetCounts &before, const TargetCounts &after,
                  const std::vector<RequestResult> &results);

} // namespace cranberry::load
