// cranberry-load: measures a running fleet under an open loop of requests.
#include "load/ComparisonPlot.h"
#include "load/LoadFlags.h"
#include "load/PolicyCampaign.h"

#include <QCoreApplication>
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>

#include <gflags/gflags.h>

#include <cstdio>

namespace {

using namespace cranberry;
using namespace cranberry::load;

constexpr int ExitBroken = 1;
constexpr int ExitBadUse = 2;

int complain(const QString &line)
{
    std::fprintf(stderr, "cranberry-load: %s\n", qPrintable(line));
    return ExitBadUse;
}

void print(const QString &text)
{
    std::printf("%s", qPrintable(text));
    std::fflush(stdout);
}

bool writeFile(const QString &name, const QByteArray &content)
{
    if (name.isEmpty())
        return true;
    QFile file(name);
    if (file.open(QIODevice::WriteOnly) && file.write(content) == content.size())
        return true;
    complain(QStringLiteral("cannot write \"%1\": %2").arg(name, file.errorString()));
    return false;
}

bool promisesKept(const LoadMetrics &metrics)
{
    return metrics.tokensLost == 0 && metrics.tokensDoubled == 0 && metrics.crossed == 0
        && metrics.wrongText == 0 && metrics.ranTwice == 0 && metrics.ranThoughRefused == 0;
}

int runOnce(const LoadCommand &command)
{
    LoadMetrics sum;
    QJsonArray runs;
    for (const quint64 seed : command.seeds) {
        const LoadMetrics metrics = runLoad(command.targets, command.mix, seed, command.limits);
        print(QStringLiteral("seed %1\n%2").arg(seed).arg(metricsTable(metrics)));
        runs.append(metricsJson(metrics));
        addMetrics(sum, metrics);
    }
    const QJsonObject json{{QStringLiteral("runs"), runs},
                           {QStringLiteral("sum"), metricsJson(sum)}};
    if (!writeFile(command.jsonFile, QJsonDocument(json).toJson()))
        return ExitBadUse;
    return promisesKept(sum) ? 0 : ExitBroken;
}

int compare(const LoadCommand &command)
{
    bool kept = true;
    const PolicyCampaign campaign{command.targets, command.mix,      command.limits,
                                  command.service, command.policies, command.seeds};
    const auto compared = comparePolicies(
        campaign, [&](const QString &policy, quint64 seed, const LoadMetrics &metrics) {
            kept = kept && promisesKept(metrics);
            print(QStringLiteral("%1, seed %2\n%3\n")
                      .arg(policy)
                      .arg(seed)
                      .arg(metricsTable(metrics)));
        });
    if (!compared)
        return complain(compared.error().detail);
    const PolicyComparison &comparison = compared.value();
    print(comparisonTable(comparison));
    const bool written =
        writeFile(command.jsonFile, QJsonDocument(comparisonJson(comparison)).toJson())
        && writeFile(command.plotFile, comparisonSvg(comparison, command.title));
    if (!written)
        return ExitBadUse;
    return kept ? 0 : ExitBroken;
}

} // namespace

int main(int argc, char **argv)
{
    setUsage();
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    QCoreApplication application(argc, argv);
    QList<QString> words;
    for (int i = 1; i < argc; ++i)
        words.append(QString::fromLocal8Bit(argv[i]));
    const auto command = readCommand(words);
    if (!command)
        return complain(command.error().detail);
    return command.value().policies.isEmpty() ? runOnce(command.value()) : compare(command.value());
}
