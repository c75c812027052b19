#include "gateway/PlainCall.h"

#include "configuration/Configuration.h"
#include "gateway/ArrivalTime.h"
#include "gateway/CallerHeaders.h"
#include "gateway/CompletionRequest.h"

#include <QCryptographicHash>
#include <QSet>
#include <QUrl>
#include <QUuid>

namespace cranberry {

namespace {

const QByteArray ServicePathPrefix = "/services/";

/// Headers that apply to a single connection or identify the caller.
const QSet<QByteArray> HeadersNotForwarded = {
    "authorization", "connection", "content-length", "host",    "transfer-encoding", "expect",
    "keep-alive",    "te",         "trailer",        "upgrade", "cranberry-attempt"};

Error unknownService(const QByteArray &name)
{
    return {ErrorKind::UnknownService,
            Ran::No,
            QStringLiteral("service \"%1\" does not exist or is not available to this workspace")
                .arg(QString::fromUtf8(name.left(80))),
            QStringLiteral("path"),
            {}};
}

HttpRequest upstreamRequest(const HttpRequest &request, const QByteArray &path)
{
    HttpRequest upstream;
    upstream.method = request.method;
    upstream.path = path;
    upstream.query = request.query;
    upstream.body = request.body;
    for (const HttpHeaders::Field &field : request.headers.fields()) {
        if (!HeadersNotForwarded.contains(field.first.toLower()))
            upstream.headers.add(field.first, field.second);
    }
    return upstream;
}

QByteArray fingerprintOf(const HttpRequest &upstream)
{
    QCryptographicHash hash(QCryptographicHash::Sha256);
    hash.addData(upstream.method + ' ' + upstream.path + '?'
                 + upstream.query.toString(QUrl::FullyEncoded).toUtf8() + '\n');
    hash.addData(upstream.body);
    return hash.result();
}

/// Whether HTTP allows a client to repeat a request with @p method.
bool isIdempotentMethod(const QByteArray &method)
{
    return method != "POST" && method != "PATCH";
}

} // namespace

Result<PlainRequest> parsePlainCall(const HttpRequest &request, const WorkspaceId &workspace,
                                    const std::shared_ptr<const Configuration> &configuration,
                                    const ArrivalTime &arrival)
{
    BOOST_OUTCOME_TRY(headers, parseCallerHeaders(request));
    const QByteArray rest = request.path.mid(ServicePathPrefix.size());
    const qsizetype slash = rest.indexOf('/');
    const QByteArray name = slash < 0 ? rest : rest.left(slash);
    const ServiceId id(QUrl::fromPercentEncoding(name));
    const auto service = configuration->services.constFind(id);
    const auto workspaceSettings = configuration->workspaces.constFind(workspace);
    const bool known = service != configuration->services.constEnd()
        && service->kind == ServiceKind::Plain
        && workspaceSettings != configuration->workspaces.constEnd()
        && workspaceSettings->services.contains(id);
    if (!known)
        return unknownService(name);

    PlainRequest result;
    result.id = RequestId(QUuid::createUuid().toString(QUuid::WithoutBraces));
    result.workspace = workspace;
    result.service = id;
    result.configuration = configuration;
    result.upstream = upstreamRequest(request, slash < 0 ? QByteArray("/") : rest.mid(slash));
    result.deadline = arrival.monotonic + headers.deadline.value_or(service->defaultDeadline);
    const bool atMostOnceByDefault = service->atMostOnce && !isIdempotentMethod(request.method);
    result.atMostOnce = headers.atMostOnce.value_or(atMostOnceByDefault);
    if (result.atMostOnce) {
        BOOST_OUTCOME_TRY(checkAtMostOnceKey(headers.idempotencyKey, arrival));
    }
    result.claimKey = claimKeyOf(workspace, headers.idempotencyKey);
    result.fingerprint = fingerprintOf(result.upstream);
    result.crashFingerprint =
        requestFingerprint(workspace, result.upstream.path, result.upstream.body);
    return result;
}

} // namespace cranberry
