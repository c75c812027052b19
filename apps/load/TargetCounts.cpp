#include "load/TargetCounts.h"

#include "load/LoadMetrics.h"
#include "load/LoadTargets.h"
#include "load/RequestResult.h"
#include "support/ExpectedText.h"
#include "support/FleetClient.h"

#include <QJsonArray>

namespace cranberry::load {

namespace {

qint64 metricValue(const QByteArray &text, const QByteArray &name)
{
    const QList<QByteArray> lines = text.split('\n');
    for (const QByteArray &line : lines) {
        if (line.startsWith(name + ' '))
            return line.mid(name.size() + 1).toLongLong();
    }
    return 0;
}

TargetCount readTarget(test::FleetClient &client, const HttpEndpoint &endpoint)
{
    const QJsonObject json = client.get(endpoint, "/runs").json;
    TargetCount count;
    count.preemptions = json.value(QLatin1String("preemptions")).toInteger();
    count.tokens = json.value(QLatin1String("tokens")).toInteger();
    const QJsonArray runs = json.value(QLatin1String("runs")).toArray();
    for (const QJsonValue run : runs)
        ++count.runs[run[QLatin1String("prompt_hash")].toString()];
    return count;
}

/// The increase of a counter; a smaller value means that the process restarted from zero.
qint64 increaseSince(qint64 before, qint64 after)
{
    return after >= before ? after - before : after;
}

} // namespace

TargetCounts readCounts(test::FleetClient &client, const LoadTargets &targets)
{
    TargetCounts counts;
    for (const HttpEndpoint &target : targets.targets)
        counts.targets.append(readTarget(client, target));
    for (const HttpEndpoint &gateway : targets.gateways) {
        const QByteArray text = client.get(gateway, "/metrics").response.body;
        counts.retries += metricValue(text, "cranberry_retries_total");
        counts.resumes += metricValue(text, "cranberry_resumes_total");
    }
    return counts;
}

void recordCounts(LoadMetrics &metrics, const TargetCounts &before, const TargetCounts &after,
                  const std::vector<RequestResult> &results)
{
    QHash<QString, int> runs;
    for (int i = 0; i < after.targets.size(); ++i) {
        const TargetCount &oldCount = before.targets.at(i);
        const TargetCount &newCount = after.targets.at(i);
        metrics.preemptions += increaseSince(oldCount.preemptions, newCount.preemptions);
        metrics.generatedTokens += increaseSince(oldCount.tokens, newCount.tokens);
        for (auto run = newCount.runs.begin(); run != newCount.runs.end(); ++run)
            runs[run.key()] += int(increaseSince(oldCount.runs.value(run.key()), run.value()));
    }
    metrics.retries += increaseSince(before.retries, after.retries);
    metrics.resumes += increaseSince(before.resumes, after.resumes);
    if (after.targets.isEmpty())
        return;
    for (const RequestResult &result : results) {
        const int count =
            runs.value(QString::fromLatin1(test::promptHash(enginePrompt(result.request))));
        metrics.ranTwice += result.request.atMostOnce && count > 1 ? 1 : 0;
        metrics.ranThoughRefused += isReportedNotRun(result) && count > 0 ? 1 : 0;
    }
}

} // namespace cranberry::load
