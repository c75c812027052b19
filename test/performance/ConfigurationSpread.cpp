// Measures how long a change takes from its acceptance until it is in force at nine daemons in
// three data centres, and the calls on the platform for each change. Times are those of the
// daemons' own log lines.
#include "support/EventLoop.h"
#include "support/Fleet.h"

#include <gflags/gflags.h>

#include <QDateTime>
#include <QMap>
#include <QRegularExpression>

#include <algorithm>
#include <cstdio>

DEFINE_int32(changes, 200, "changes to make");
DEFINE_int32(pause_ms, 300, "time between two changes");
DEFINE_int32(daemons, 9, "daemons, dealt to three data centres");

using namespace cranberry;
using namespace cranberry::test;

namespace {

constexpr int IdleSeconds = 10;

struct LogTimes {
    /// Milliseconds since the epoch, by version.
    QMap<qint64, double> accepted;
    QMap<qint64, double> inForce;
};

void runLoop(std::chrono::milliseconds time)
{
    waitFor([] { return false; }, time);
}

LogTimes readLog(const QByteArray &log)
{
    static const QRegularExpression line(
        QStringLiteral("^.(\\d{8}) (\\d\\d:\\d\\d:\\d\\d)\\.(\\d{6}).* event=(1501|1503) .*"
                       "version=(\\d+)"));
    LogTimes times;
    for (const QByteArray &text : log.split('\n')) {
        const QRegularExpressionMatch match = line.match(QString::fromUtf8(text));
        if (!match.hasMatch())
            continue;
        const QDateTime second = QDateTime::fromString(match.captured(1) + match.captured(2),
                                                       QStringLiteral("yyyyMMddHH:mm:ss"));
        const double at = double(second.toMSecsSinceEpoch()) + match.captured(3).toDouble() / 1000;
        auto &map = match.captured(4) == QLatin1String("1501") ? times.accepted : times.inForce;
        map.insert(match.captured(5).toLongLong(), at);
    }
    return times;
}

QJsonObject counts(Fleet &fleet)
{
    return fleet.client().get(fleet.platformEndpoint(), "/counts").json;
}

double grown(const QJsonObject &before, const QJsonObject &after, const char *name)
{
    const QLatin1String key(name);
    return after[key].toDouble() - before[key].toDouble();
}

QJsonObject documentWithQueue(const Fleet &fleet, int limit)
{
    QJsonObject document = fleet.document();
    QJsonObject services = document["services"].toObject();
    QJsonObject drafts = services["drafts"].toObject();
    drafts.insert(QStringLiteral("queue_limit"), limit);
    services.insert(QStringLiteral("drafts"), drafts);
    document.insert(QStringLiteral("services"), services);
    return document;
}

/// Submits one change after another; returns how many were accepted.
int makeChanges(Fleet &fleet)
{
    int accepted = 0;
    qint64 version = 1;
    for (int i = 0; i < FLAGS_changes; ++i) {
        const int daemon = i % fleet.daemonCount();
        const FleetAnswer answer =
            fleet.putDocument(daemon, documentWithQueue(fleet, 1 + i), version);
        if (answer.is(200)) {
            ++accepted;
            version = answer.json["version"].toInteger();
        } else {
            std::printf("change %d: HTTP %d\n", i, answer.response.status);
        }
        runLoop(std::chrono::milliseconds(FLAGS_pause_ms));
    }
    fleet.waitForVersion(version);
    return accepted;
}

double quantile(const QList<double> &sorted, double share)
{
    return sorted.at(std::min(sorted.size() - 1, qsizetype(share * double(sorted.size()))));
}

void printSpread(Fleet &fleet)
{
    QMap<qint64, double> accepted;
    QList<LogTimes> logs;
    for (int i = 0; i < fleet.daemonCount(); ++i) {
        logs.append(readLog(fleet.log(i)));
        accepted.insert(logs.last().accepted);
    }
    QList<double> everywhere;
    for (auto version = accepted.begin(); version != accepted.end(); ++version) {
        double last = 0;
        for (const LogTimes &log : std::as_const(logs)) {
            // A daemon that took several versions together has this one with the next.
            const auto inForce = log.inForce.lowerBound(version.key());
            last = std::max(last, inForce == log.inForce.end() ? 1e18 : *inForce);
        }
        everywhere.append(last - version.value());
    }
    std::sort(everywhere.begin(), everywhere.end());
    std::printf(
        "in force everywhere, ms after acceptance: p50 %.1f p95 %.1f max %.1f (%d changes)\n",
        quantile(everywhere, 0.5), quantile(everywhere, 0.95), everywhere.last(),
        int(everywhere.size()));
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    ensureApplication();
    FleetPlan plan;
    plan.daemons = FLAGS_daemons;
    plan.dataCentres = 3;
    plan.engines = 1;
    Fleet fleet(plan);
    if (!fleet.start())
        return 1;
    runLoop(std::chrono::seconds(2));
    const QJsonObject start = counts(fleet);
    runLoop(std::chrono::seconds(IdleSeconds));
    const QJsonObject idle = counts(fleet);
    std::printf("idle, a second: reads %.2f writes %.2f watches %.2f; watches waiting %d\n",
                grown(start, idle, "reads") / IdleSeconds,
                grown(start, idle, "writes") / IdleSeconds,
                grown(start, idle, "watches") / IdleSeconds, idle["waiting_watches"].toInt());
    const int accepted = makeChanges(fleet);
    const QJsonObject end = counts(fleet);
    std::printf("a change: reads %.2f writes %.2f watches %.2f (idle calls included)\n",
                grown(idle, end, "reads") / accepted, grown(idle, end, "writes") / accepted,
                grown(idle, end, "watches") / accepted);
    printSpread(fleet);
    return 0;
}
