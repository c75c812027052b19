#include "load/LoadSession.h"

#include "load/ArrivalPlan.h"
#include "load/LoadRun.h"
#include "load/TargetCounts.h"
#include "support/FleetClient.h"

#include <QUuid>

namespace cranberry::load {

LoadMetrics runLoad(const LoadTargets &targets, const TrafficMix &mix, quint64 seed,
                    const LoadLimits &limits)
{
    test::FleetClient client;
    const TargetCounts before = readCounts(client, targets);
    const QByteArray nonce = QUuid::createUuid().toByteArray(QUuid::WithoutBraces);
    LoadRun run(client.timers(), client.http(), targets, mix, planArrivals(mix, seed), nonce);
    run.run(limits.answerTimeout);
    const TargetCounts after = readCounts(client, targets);
    LoadMetrics metrics;
    for (const RequestResult &result : run.results()) {
        recordResult(metrics, result, limits.stallThreshold);
        recordSteadyTokens(metrics, result, mix.duration);
    }
    run.recordLag(metrics);
    recordCounts(metrics, before, after, run.results());
    metrics.seconds = double(mix.duration.count()) / 1000.0;
    return metrics;
}

} // namespace cranberry::load
