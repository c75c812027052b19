#include "load/PolicySwitch.h"

#include "support/EventLoop.h"
#include "support/FleetClient.h"

namespace cranberry::load {

namespace {

Error faultOf(const QString &detail)
{
    Error error;
    error.kind = ErrorKind::BadRequest;
    error.detail = detail;
    return error;
}

qint64 versionOf(const test::FleetAnswer &answer)
{
    return answer.response.headers.value("ETag").replace('"', "").toLongLong();
}

bool inForceEverywhere(test::FleetClient &client, const LoadTargets &targets,
                       const HttpHeaders &headers, qint64 version)
{
    for (const HttpEndpoint &gateway : targets.gateways) {
        const test::FleetAnswer answer = client.get(gateway, "/v1/configuration", headers);
        if (answer.end == HttpExchangeEnd::Complete && versionOf(answer) < version)
            return false;
    }
    return true;
}

} // namespace

Result<void> switchPolicy(const LoadTargets &targets, const QString &service, const QString &policy)
{
    test::FleetClient client;
    const HttpHeaders headers{{"Authorization", "Bearer " + targets.operatorToken}};
    const HttpEndpoint gateway = targets.gateways.first();
    const test::FleetAnswer current = client.get(gateway, "/v1/configuration", headers);
    if (!current.is(200))
        return faultOf(QStringLiteral("cannot read the configuration: status %1 %2")
                           .arg(current.response.status)
                           .arg(QString::fromUtf8(current.response.body)));
    QJsonObject document = current.json;
    QJsonObject services = document.value(QLatin1String("services")).toObject();
    QJsonObject changed = services.value(service).toObject();
    changed.insert(QStringLiteral("policy"), policy);
    services.insert(service, changed);
    document.insert(QStringLiteral("services"), services);
    if (document == current.json)
        return outcome::success();
    HttpHeaders put = headers;
    put.add("If-Match", current.response.headers.value("ETag"));
    const test::FleetAnswer taken =
        client.sendJson(gateway, "PUT", "/v1/configuration", document, put);
    if (!taken.is(200))
        return faultOf(QStringLiteral("policy %1 was not taken: status %2 %3")
                           .arg(policy)
                           .arg(taken.response.status)
                           .arg(QString::fromUtf8(taken.response.body)));
    const qint64 version = versionOf(current) + 1;
    if (!test::waitFor([&] { return inForceEverywhere(client, targets, headers, version); }))
        return faultOf(QStringLiteral("policy %1 is not in force everywhere").arg(policy));
    return outcome::success();
}

} // namespace cranberry::load
