#include "ctl/InForceWait.h"

#include "ctl/OperatorClient.h"

#include <QElapsedTimer>
#include <QJsonArray>
#include <QThread>

namespace cranberry::ctl {

namespace {

constexpr unsigned long PollIntervalMs = 200;

QString describeLagging(const QString &name, const QJsonValue &version)
{
    const QString reported =
        version.isDouble() ? QString::number(version.toInteger()) : QStringLiteral("none");
    return QStringLiteral("%1 (version %2)").arg(name, reported);
}

bool isLive(const QJsonObject &member)
{
    const QString state = member[QLatin1String("state")].toString();
    return state != QLatin1String("dead") && state != QLatin1String("leaving");
}

QStringList laggingDaemons(OperatorClient &client, const QList<HttpEndpoint> &daemons,
                           qint64 version)
{
    QStringList lagging;
    for (const HttpEndpoint &daemon : daemons) {
        const QString address = QStringLiteral("%1:%2").arg(daemon.address).arg(daemon.port);
        const OperatorResponse response = client.get(daemon, "/v1/status");
        if (!response.isSuccess()) {
            lagging.append(QStringLiteral("%1 (%2)").arg(address, response.problem));
            continue;
        }
        const QJsonValue inForce = response.body[QLatin1String("configuration_version")];
        const QString vm = response.body[QLatin1String("vm")].toString();
        if (!inForce.isDouble() || inForce.toInteger() < version)
            lagging.append(describeLagging(vm + " at " + address, inForce));
        else if (daemons.size() == 1)
            lagging.append(laggingMembers(response.body, version));
    }
    return lagging;
}

} // namespace

QStringList laggingMembers(const QJsonObject &status, qint64 version)
{
    QStringList lagging;
    const QJsonArray members = status[QLatin1String("members")].toArray();
    for (const auto &value : members) {
        const QJsonObject member = value.toObject();
        const QString vm = member[QLatin1String("vm")].toString();
        const QJsonValue reported = member[QLatin1String("configuration_version")];
        const bool isSelf = vm == status[QLatin1String("vm")].toString();
        const bool isLagging = !reported.isDouble() || reported.toInteger() < version;
        if (!isSelf && isLive(member) && isLagging)
            lagging.append(describeLagging(vm, reported));
    }
    return lagging;
}

QStringList waitUntilInForce(OperatorClient &client, const QList<HttpEndpoint> &daemons,
                             qint64 version, Milliseconds timeout)
{
    QElapsedTimer elapsed;
    elapsed.start();
    while (true) {
        QStringList lagging = laggingDaemons(client, daemons, version);
        if (lagging.isEmpty() || elapsed.elapsed() >= timeout.count())
            return lagging;
        QThread::msleep(PollIntervalMs);
    }
}

} // namespace cranberry::ctl
