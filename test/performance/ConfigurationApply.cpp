// Measures what one change costs a daemon in processor time and memory as the document grows.
#include "configuration/ConfigurationDocument.h"
#include "configuration/ConfigurationState.h"

#include <QElapsedTimer>
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>

#include <cstdio>

using namespace cranberry;

namespace {

constexpr int Rounds = 20;
constexpr double NanosecondsPerMillisecond = 1e6;

QJsonObject documentOf(int workspaces, int targets)
{
    QJsonObject workspaceParts;
    for (int i = 0; i < workspaces; ++i) {
        const QString hash = QString::number(i, 16).rightJustified(64, QLatin1Char('0'));
        workspaceParts.insert(QStringLiteral("workspace-%1").arg(i),
                              QJsonObject{{"key_sha256", QJsonArray{hash}},
                                          {"services", QJsonArray{"s"}},
                                          {"limits", QJsonObject{{"concurrent_requests", 64}}}});
    }
    QJsonObject targetParts;
    for (int i = 0; i < targets; ++i) {
        const QString url =
            QStringLiteral("http://10.%1.%2.1:9001").arg(i / 256 % 256).arg(i % 256);
        targetParts.insert(QStringLiteral("target-%1").arg(i),
                           QJsonObject{{"service", "s"},
                                       {"url", url},
                                       {"data_centre", "dc1"},
                                       {"models", QJsonArray{"m"}}});
    }
    return {{"services", QJsonObject{{"s", QJsonObject{{"kind", "model"}}}}},
            {"models", QJsonObject{{"m", QJsonObject{{"service", "s"}, {"version", "1"}}}}},
            {"workspaces", workspaceParts},
            {"targets", targetParts}};
}

qint64 residentKilobytes()
{
    QFile file(QStringLiteral("/proc/self/status"));
    if (!file.open(QIODevice::ReadOnly))
        return 0;
    for (const QByteArray &line : file.readAll().split('\n')) {
        if (line.startsWith("VmRSS:"))
            return line.mid(6).trimmed().split(' ').first().toLongLong();
    }
    return 0;
}

template <typename Work>
double millisecondsOf(Work work)
{
    QElapsedTimer timer;
    timer.start();
    for (int i = 0; i < Rounds; ++i)
        work(i);
    return double(timer.nsecsElapsed()) / NanosecondsPerMillisecond / Rounds;
}

void measure(int workspaces, int targets)
{
    const qint64 before = residentKilobytes();
    const QJsonObject document = documentOf(workspaces, targets);
    ConfigurationState state = stateWithDocument({}, ConfigurationVersion(1), document);
    const qint64 after = residentKilobytes();
    const double check = millisecondsOf([&](int) { validateDocument(document); });
    const double apply = millisecondsOf([&](int i) {
        const QJsonObject limits{{"concurrent_requests", i}};
        const QJsonObject workspace{{"workspace-1", QJsonObject{{"limits", limits}}}};
        const ConfigurationVersion next(state.version.value() + 1);
        state = stateAfter(state, {{next, ChangeId("c"), {{"workspaces", workspace}}}});
    });
    std::printf("%d workspaces, %d targets: document %lld KB, resident +%lld KB, whole check "
                "%.2f ms, apply one change %.2f ms\n",
                workspaces, targets,
                static_cast<long long>(QJsonDocument(document).toJson(QJsonDocument::Compact).size()
                                       / 1024),
                static_cast<long long>(after - before), check, apply);
}

} // namespace

int main()
{
    measure(10, 13);
    measure(550, 500);
    measure(2750, 2500);
    measure(5500, 5000);
    return 0;
}
