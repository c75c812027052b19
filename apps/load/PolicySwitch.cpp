#include "load/PolicySwitch.h"

#include "support/EventLoop.h"
#include "support/FleetClient.h"

namespace cranberry::load {

namespace {

Error badRequest(const QString &detail)
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

bool isInForceEverywhere(test::FleetClient &client, const LoadTargets &targets,
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
        return badRequest(QStringLiteral("cannot read the configuration: status %1 %2")
                              .arg(current.response.status)
                              .arg(QString::fromUtf8(current.response.body)));
    QJsonObject document = current.json;
    QJsonObject services = document.value(QLatin1String("services")).toObject();
    QJsonObject updatedService = services.value(service).toObject();
    updatedService.insert(QStringLiteral("policy"), policy);
    services.insert(service, updatedService);
    document.insert(QStringLiteral("services"), services);
    if (document == current.json)
        return outcome::success();
    HttpHeaders putHeaders = headers;
    putHeaders.add("If-Match", current.response.headers.value("ETag"));
    const test::FleetAnswer response =
        client.sendJson(gateway, "PUT", "/v1/configuration", document, putHeaders);
    if (!response.is(200))
        return badRequest(QStringLiteral("policy %1 was not accepted: status %2 %3")
                              .arg(policy)
                              .arg(response.response.status)
                              .arg(QString::fromUtf8(response.response.body)));
    const qint64 version = versionOf(current) + 1;
    if (!test::waitFor([&] { return isInForceEverywhere(client, targets, headers, version); }))
        return badRequest(QStringLiteral("policy %1 is not in force at every gateway").arg(policy));
    return outcome::success();
}

} // namespace cranberry::load
