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

/// Counters of one stand-in target.
struct TargetCount {
    qint64 preemptions = 0;
    qint64 tokens = 0;
    /// Number of runs by prompt hash.
    QHash<QString, int> runs;
};

/// Counters of the stand-in targets and the daemons at one time.
struct TargetCounts {
    QList<TargetCount> targets;
    /// Sums over the daemons.
    qint64 retries = 0;
    qint64 resumes = 0;
};

/// Reads the counters of all targets (GET /runs) and daemons (GET /metrics); those of one that does
/// not respond are zero. Runs the event loop while it waits.
TargetCounts readCounts(test::FleetClient &client, const LoadTargets &targets);

/// Adds the increase of the counters from @p before to @p after to @p metrics, and checks the
/// @p results against the runs of the targets: at-most-once requests that ran more than once, and
/// requests that ran although their caller was told otherwise. The counters of a process that
/// restarted in between count from its restart.
void recordCounts(LoadMetrics &metrics, const TargetCounts &before, const TargetCounts &after,
                  const std::vector<RequestResult> &results);

} // namespace cranberry::load
