// A site of the size of today under load: nine daemons in three data centres, ten engines, two
// plain services and ten workspaces, all as processes on this machine. Finds what the engines
// carry, compares placement policies at shares of it, and measures faults during the load.
// A run takes the time of the arrivals and of the longest answers after them, about 20 s; keep
// the machine otherwise quiet, and distrust figures whose "own send lag" is not a few ms.
#include "load/ComparisonPlot.h"
#include "load/LoadSession.h"
#include "load/PolicyCampaign.h"
#include "load/PolicySwitch.h"
#include "support/Fleet.h"

#include <QCoreApplication>
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QTimer>

#include <gflags/gflags.h>

#include <cstdio>
#include <functional>

DEFINE_string(mode, "calibrate", "calibrate, compare or faults");
DEFINE_double(capacity, 0, "requests a second that the engines carry, as calibrate found");
DEFINE_string(loads, "70,90,100,120", "loads of compare and faults, percent of the capacity");
DEFINE_string(rates, "100,140", "rates that calibrate tries, requests a second; over the capacity");
DEFINE_string(policies, "round_robin,least_requests,two_choices,forecast", "policies to compare");
DEFINE_string(seeds, "1,2,3", "seeds of the arrivals");
DEFINE_double(duration_s, 15, "time in which requests arrive, seconds");
DEFINE_int32(deadline_ms, 15000, "deadline of each request, milliseconds");
DEFINE_string(objective, "stall", "objective of the service: stall or inter_token");
DEFINE_string(fault, "", "faults to measure, by name; empty for all");
DEFINE_int32(report_lag_ms, 300, "age of the engines' load reports, milliseconds");
DEFINE_string(output, "", "start of the names of the files to write (JSON, SVG); empty for none");

namespace {

using namespace cranberry;
using namespace cranberry::load;
using test::Fleet;
using test::FleetPlan;

constexpr int Daemons = 9;
constexpr int DataCentres = 3;
constexpr int Engines = 10;
constexpr int PlainServices = 2;
constexpr int Workspaces = 10;
constexpr quint64 WarmUpSeed = 1000;
const QString Service = QStringLiteral("drafts");

/// Engines that carry about ten streams each at 10 ms a step, so that the machine carries the
/// whole site; memory is what runs out first.
const QStringList EngineFlags{
    QStringLiteral("--capacity_tokens=3072"), QStringLiteral("--step_base_ms=8"),
    QStringLiteral("--step_per_stream_ms=0.3"), QStringLiteral("--length_median=80"),
    QStringLiteral("--step_per_prefill_token_ms=0.04")};

FleetPlan sitePlan()
{
    FleetPlan plan;
    plan.daemons = Daemons;
    plan.dataCentres = DataCentres;
    plan.engines = Engines;
    plan.plainServices = PlainServices;
    plan.workspaces = Workspaces;
    plan.engineFlags = EngineFlags;
    plan.engineFlags << QStringLiteral("--report_lag_ms=%1").arg(FLAGS_report_lag_ms);
    plan.draftsService = {{QStringLiteral("objective"), QString::fromStdString(FLAGS_objective)}};
    return plan;
}

LoadTargets targetsOf(const Fleet &fleet)
{
    LoadTargets targets;
    for (int i = 0; i < Daemons; ++i)
        targets.gateways.append(fleet.gateway(i));
    for (int i = 0; i < Engines; ++i)
        targets.targets.append(fleet.engineEndpoint(i));
    targets.operatorToken = fleet.operatorHeaders().value("Authorization").mid(7);
    return targets;
}

TrafficMix mixAt(double rate)
{
    TrafficMix mix;
    for (int i = 0; i < Workspaces; ++i)
        mix.keys.append("key-w" + QByteArray::number(i));
    mix.rate = rate;
    mix.duration = Milliseconds(qint64(FLAGS_duration_s * 1000));
    mix.deadline = Milliseconds(FLAGS_deadline_ms);
    return mix;
}

LoadLimits limits()
{
    LoadLimits limits;
    limits.answerTimeout = Milliseconds(FLAGS_deadline_ms + 5000);
    return limits;
}

QList<QString> listOf(const std::string &text)
{
    return QString::fromStdString(text).split(QLatin1Char(','), Qt::SkipEmptyParts);
}

void print(const QString &text)
{
    std::printf("%s\n", qPrintable(text));
    std::fflush(stdout);
}

void writeFile(const QString &ending, const QByteArray &content)
{
    if (FLAGS_output.empty())
        return;
    QFile file(QString::fromStdString(FLAGS_output) + ending);
    if (!file.open(QIODevice::WriteOnly) || file.write(content) != content.size())
        std::fprintf(stderr, "cannot write %s\n", qPrintable(file.fileName()));
}

bool usePolicy(const LoadTargets &targets, const QString &policy)
{
    const auto switched = switchPolicy(targets, Service, policy);
    if (!switched)
        std::fprintf(stderr, "%s\n", qPrintable(switched.error().detail));
    return bool(switched);
}

/// Overloads the engines; they carry the rate whose tokens they generate at most.
bool calibrate(const LoadTargets &targets)
{
    if (!usePolicy(targets, QStringLiteral("two_choices")))
        return false;
    double best = 0;
    const QList<QString> rates = listOf(FLAGS_rates);
    for (const QString &rate : rates) {
        const LoadMetrics metrics = runLoad(targets, mixAt(rate.toDouble()), 1, limits());
        const double mean = double(metrics.wholeTokens) / std::max(1, metrics.whole);
        const double carried = metrics.steadyTokensPerSecond() / mean;
        best = std::max(best, carried);
        print(QStringLiteral("rate %1: carries %2 requests/s\n%3")
                  .arg(rate)
                  .arg(carried, 0, 'f', 1)
                  .arg(metricsTable(metrics)));
    }
    print(QStringLiteral("carried: %1 requests/s").arg(best, 0, 'f', 1));
    return true;
}

bool compareAt(const LoadTargets &targets, const QString &percent)
{
    PolicyCampaign campaign{targets,
                            mixAt(FLAGS_capacity * percent.toDouble() / 100),
                            limits(),
                            Service,
                            listOf(FLAGS_policies),
                            {}};
    const QList<QString> seeds = listOf(FLAGS_seeds);
    for (const QString &seed : seeds)
        campaign.seeds.append(seed.toULongLong());
    const auto compared = comparePolicies(
        campaign, [](const QString &policy, quint64 seed, const LoadMetrics &metrics) {
            print(
                QStringLiteral("%1, seed %2\n%3").arg(policy).arg(seed).arg(metricsTable(metrics)));
        });
    if (!compared) {
        std::fprintf(stderr, "%s\n", qPrintable(compared.error().detail));
        return false;
    }
    const PolicyComparison &comparison = compared.value();
    const QString title = QStringLiteral("load %1%").arg(percent);
    print(title + QLatin1Char('\n') + comparisonTable(comparison));
    const QString ending = QLatin1Char('-') + percent;
    writeFile(ending + QStringLiteral(".json"), QJsonDocument(comparisonJson(comparison)).toJson());
    writeFile(ending + QStringLiteral(".svg"), comparisonSvg(comparison, title));
    return true;
}

struct Fault {
    QString name;
    /// Called a third into the arrivals.
    std::function<void(Fleet &)> begin;
    /// Called two thirds into the arrivals.
    std::function<void(Fleet &)> end;
    double greedyFactor = 1;
};

void setEngineFault(Fleet &fleet, int engine, const char *name, const QJsonValue &value)
{
    fleet.setFaults(fleet.engineEndpoint(engine), {{QString::fromLatin1(name), value}});
}

void setAllEngines(Fleet &fleet, const char *name, const QJsonValue &value)
{
    for (int i = 0; i < Engines; ++i)
        setEngineFault(fleet, i, name, value);
}

QList<Fault> allFaults()
{
    const auto nothing = [](Fleet &) {};
    return {
        {QStringLiteral("none"), nothing, nothing},
        {QStringLiteral("engine_killed"), [](Fleet &fleet) { fleet.engine(0).kill(); },
         [](Fleet &fleet) { fleet.restartEngine(0); }},
        {QStringLiteral("engine_slow"),
         [](Fleet &fleet) { setEngineFault(fleet, 0, "slow_factor", 5); },
         [](Fleet &fleet) { setEngineFault(fleet, 0, "slow_factor", 1); }},
        {QStringLiteral("links_stalled"),
         [](Fleet &fleet) { setEngineFault(fleet, 0, "stall_after", 20); },
         [](Fleet &fleet) { setEngineFault(fleet, 0, "stall_after", 0); }},
        {QStringLiteral("daemon_killed"), [](Fleet &fleet) { fleet.daemon(8).kill(); }, nothing},
        {QStringLiteral("platform_down"),
         [](Fleet &fleet) {
             fleet.setFaults(fleet.platformEndpoint(), {{QStringLiteral("down"), true}});
         },
         [](Fleet &fleet) {
             fleet.setFaults(fleet.platformEndpoint(), {{QStringLiteral("down"), false}});
         }},
        {QStringLiteral("reports_late"),
         [](Fleet &fleet) { setAllEngines(fleet, "report_lag_ms", 2000); },
         [](Fleet &fleet) { setAllEngines(fleet, "report_lag_ms", FLAGS_report_lag_ms); }},
        {QStringLiteral("greedy_workspace"), nothing, nothing, 10},
    };
}

bool measureFault(const Fault &fault, const QString &policy, const QString &percent,
                  QJsonObject &results)
{
    // Each fault gets a fresh site: what one leaves behind must not be measured as the next.
    Fleet fleet(sitePlan());
    if (!fleet.start())
        return false;
    const LoadTargets targets = targetsOf(fleet);
    if (!usePolicy(targets, policy))
        return false;
    TrafficMix mix = mixAt(FLAGS_capacity * percent.toDouble() / 100);
    // A fresh site knows no lengths and no demand yet; without a run before, its start would
    // be measured and not the fault.
    runLoad(targets, mix, WarmUpSeed, limits());
    mix.greedyFactor = fault.greedyFactor;
    const int third = int(mix.duration.count() / 3);
    QTimer::singleShot(third, [&] { fault.begin(fleet); });
    QTimer::singleShot(2 * third, [&] { fault.end(fleet); });
    const LoadMetrics metrics =
        runLoad(targets, mix, listOf(FLAGS_seeds).first().toULongLong(), limits());
    print(QStringLiteral("%1, %2, load %3%\n%4")
              .arg(fault.name, policy, percent, metricsTable(metrics)));
    results.insert(fault.name + QLatin1Char('/') + policy, metricsJson(metrics));
    return true;
}

bool measureFaults()
{
    const QList<QString> wanted = listOf(FLAGS_fault);
    const QList<QString> policies = listOf(FLAGS_policies);
    const QString percent = listOf(FLAGS_loads).first();
    QJsonObject results;
    const QList<Fault> faults = allFaults();
    for (const Fault &fault : faults) {
        if (!wanted.isEmpty() && !wanted.contains(fault.name))
            continue;
        for (const QString &policy : policies) {
            if (!measureFault(fault, policy, percent, results))
                return false;
        }
    }
    writeFile(QStringLiteral("-faults.json"), QJsonDocument(results).toJson());
    return true;
}

bool measure()
{
    if (FLAGS_mode == "faults")
        return measureFaults();
    Fleet fleet(sitePlan());
    if (!fleet.start())
        return false;
    const LoadTargets targets = targetsOf(fleet);
    if (FLAGS_mode == "calibrate")
        return calibrate(targets);
    const QList<QString> loads = listOf(FLAGS_loads);
    for (const QString &percent : loads) {
        if (!compareAt(targets, percent))
            return false;
    }
    return true;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("starts a site on this machine and measures it under load\n"
                            "  bench-SiteCompare --mode calibrate\n"
                            "  bench-SiteCompare --mode compare --capacity R --loads 70,90\n"
                            "  bench-SiteCompare --mode faults --capacity R --loads 70");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    QCoreApplication application(argc, argv);
    const bool known =
        FLAGS_mode == "calibrate" || FLAGS_mode == "compare" || FLAGS_mode == "faults";
    if (!known || (FLAGS_mode != "calibrate" && FLAGS_capacity <= 0)) {
        std::fprintf(stderr,
                     "--mode: expected calibrate, compare or faults, the last two with "
                     "--capacity over 0\n");
        return 2;
    }
    return measure() ? 0 : 1;
}
