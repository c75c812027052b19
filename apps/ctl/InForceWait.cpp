#include "ctl/InForceWait.h"

#include "ctl/OperatorClient.h"

#include <QElapsedTimer>
#include <QJsonArray>
#include <QThread>

namespace cranberry::ctl {

namespace {

constexpr unsigned long PollIntervalMs = 200;

QString behind(const QString &name, const QJsonValue &version)
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

QStringList daemonsBehind(OperatorClient &client, const QList<HttpEndpoint> &daemons,
                          qint64 version)
{
    QStringList names;
    for (const HttpEndpoint &daemon : daemons) {
        const QString address = QStringLiteral("%1:%2").arg(daemon.address).arg(daemon.port);
        const OperatorAnswer answer = client.get(daemon, "/v1/status");
        if (!answer.isSuccess()) {
            names.append(QStringLiteral("%1 (%2)").arg(address, answer.problem));
            continue;
        }
        const QJsonValue inForce = answer.body[QLatin1String("configuration_version")];
        const QString vm = answer.body[QLatin1String("vm")].toString();
        if (!inForce.isDouble() || inForce.toInteger() < version)
            names.append(behind(vm + " at " + address, inForce));
        else if (daemons.size() == 1)
            names.append(membersBehind(answer.body, version));
    }
    return names;
}

} // namespace

QStringList membersBehind(const QJsonObject &status, qint64 version)
{
    QStringList names;
    const QJsonArray members = status[QLatin1String("members")].toArray();
    for (const auto &value : members) {
        const QJsonObject member = value.toObject();
        const QString vm = member[QLatin1String("vm")].toString();
        const QJsonValue reported = member[QLatin1String("configuration_version")];
        const bool isSelf = vm == status[QLatin1String("vm")].toString();
        const bool isBehind = !reported.isDouble() || reported.toInteger() < version;
        if (!isSelf && isLive(member) && isBehind)
            names.append(behind(vm, reported));
    }
    return names;
}

QStringList waitInForce(OperatorClient &client, const QList<HttpEndpoint> &daemons, qint64 version,
                        Milliseconds limit)
{
    QElapsedTimer elapsed;
    elapsed.start();
    while (true) {
        QStringList names = daemonsBehind(client, daemons, version);
        if (names.isEmpty() || elapsed.elapsed() >= limit.count())
            return names;
        QThread::msleep(PollIntervalMs);
    }
}

} // namespace cranberry::ctl
