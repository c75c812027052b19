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

constexpr int ExitViolation = 1;
constexpr int ExitUsageError = 2;

/// Prints @p line to stderr and returns the exit code for a usage error.
int reportError(const QString &line)
{
    std::fprintf(stderr, "cranberry-load: %s\n", qPrintable(line));
    return ExitUsageError;
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
    reportError(QStringLiteral("cannot write \"%1\": %2").arg(name, file.errorString()));
    return false;
}

bool hasNoViolation(const LoadMetrics &metrics)
{
    return metrics.tokensLost == 0 && metrics.tokensDoubled == 0 && metrics.crossed == 0
        && metrics.wrongText == 0 && metrics.ranTwice == 0 && metrics.ranThoughRefused == 0;
}

int runSeeds(const LoadCommand &command)
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
        return ExitUsageError;
    return hasNoViolation(sum) ? 0 : ExitViolation;
}

int compare(const LoadCommand &command)
{
    bool isCorrect = true;
    const PolicyCampaign campaign{command.targets, command.mix,      command.limits,
                                  command.service, command.policies, command.seeds};
    const auto compared = comparePolicies(
        campaign, [&](const QString &policy, quint64 seed, const LoadMetrics &metrics) {
            isCorrect = isCorrect && hasNoViolation(metrics);
            print(QStringLiteral("%1, seed %2\n%3\n")
                      .arg(policy)
                      .arg(seed)
                      .arg(metricsTable(metrics)));
        });
    if (!compared)
        return reportError(compared.error().detail);
    const PolicyComparison &comparison = compared.value();
    print(comparisonTable(comparison));
    const bool areFilesWritten =
        writeFile(command.jsonFile, QJsonDocument(comparisonJson(comparison)).toJson())
        && writeFile(command.plotFile, comparisonSvg(comparison, command.title));
    if (!areFilesWritten)
        return ExitUsageError;
    return isCorrect ? 0 : ExitViolation;
}

} // namespace

int main(int argc, char **argv)
{
    registerUsage();
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    QCoreApplication application(argc, argv);
    QList<QString> arguments;
    for (int i = 1; i < argc; ++i)
        arguments.append(QString::fromLocal8Bit(argv[i]));
    const auto command = readCommand(arguments);
    if (!command)
        return reportError(command.error().detail);
    return command.value().policies.isEmpty() ? runSeeds(command.value())
                                              : compare(command.value());
}
