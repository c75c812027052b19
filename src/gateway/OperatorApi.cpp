#include "gateway/OperatorApi.h"

#include "base/Result.h"
#include "base/WorkerPool.h"
#include "configuration/ConfigurationDocument.h"
#include "configuration/ConfigurationStore.h"
#include "console/ConsolePage.h"
#include "gateway/ProblemResponse.h"
#include "http/HttpRequest.h"
#include "http/HttpResponder.h"

#include <QCryptographicHash>
#include <QJsonDocument>
#include <QJsonObject>

#include <openssl/crypto.h>

namespace cranberry {

namespace {

const QByteArray ConfigurationPath = "/v1/configuration";
const QByteArray ValidatePath = "/v1/configuration/validate";
const QByteArray StatusPath = "/v1/status";
const QByteArray BearerScheme = "Bearer ";
/// Limit on the size of the changes that are listed in the answer to a version conflict.
constexpr qsizetype MaxConflictChangesBytes = 256 * 1024;

QByteArray tokenHash(const QByteArray &token)
{
    return token.isEmpty() ? QByteArray()
                           : QCryptographicHash::hash(token, QCryptographicHash::Sha256);
}

QByteArray etag(ConfigurationVersion version)
{
    return '"' + QByteArray::number(version.value()) + '"';
}

std::optional<ConfigurationVersion> versionOfEtag(QByteArray text)
{
    if (text.size() > 2 && text.startsWith('"') && text.endsWith('"'))
        text = text.mid(1, text.size() - 2);
    bool isNumber = false;
    const qint64 version = text.toLongLong(&isNumber);
    if (!isNumber || version < 0)
        return std::nullopt;
    return ConfigurationVersion(version);
}

Error error(ErrorKind kind, const QString &detail, const QString &field = {})
{
    Error result;
    result.kind = kind;
    result.detail = detail;
    result.field = field;
    return result;
}

Result<QJsonObject> parseDocument(const QByteArray &body)
{
    QJsonParseError parseError;
    const QJsonDocument document = QJsonDocument::fromJson(body, &parseError);
    if (parseError.error != QJsonParseError::NoError) {
        return error(ErrorKind::BadRequest,
                     QStringLiteral("invalid JSON at byte %1: %2")
                         .arg(parseError.offset)
                         .arg(parseError.errorString()));
    }
    if (!document.isObject())
        return error(ErrorKind::BadRequest, QStringLiteral("expected a JSON object"));
    return document.object();
}

QJsonArray faultList(const QList<ConfigurationFault> &faults)
{
    QJsonArray list;
    for (const ConfigurationFault &fault : faults)
        list.append(QJsonObject{{"path", fault.path}, {"message", fault.message}});
    return list;
}

/// The response for @p error with the members of @p extra added to its body.
HttpResponse problemResponseWith(const Error &error, const QJsonObject &extra)
{
    HttpResponse response = problemResponse(error);
    QJsonObject body = QJsonDocument::fromJson(response.body).object();
    for (auto it = extra.begin(); it != extra.end(); ++it)
        body.insert(it.key(), it.value());
    response.body = QJsonDocument(body).toJson(QJsonDocument::Compact);
    return response;
}

HttpResponse objectResponse(const QJsonObject &object)
{
    return jsonResponse(200, QJsonDocument(object).toJson(QJsonDocument::Compact));
}

/// The changes after @p version; empty if they are unknown or exceed the size limit.
QJsonArray changesSince(const ConfigurationStore &store, ConfigurationVersion version)
{
    QJsonArray list;
    qsizetype size = 0;
    const auto changes = store.changesAfter(version).value_or(QList<ConfigurationChange>());
    for (const ConfigurationChange &change : changes) {
        size += QJsonDocument(change.patch).toJson(QJsonDocument::Compact).size();
        if (size > MaxConflictChangesBytes)
            return {};
        list.append(QJsonObject{{"version", change.version.value()},
                                {"change_id", change.id.text()},
                                {"patch", change.patch}});
    }
    return list;
}

template <typename Part>
auto valueOrDefault(const std::function<Part()> &source)
{
    return source ? source() : Part();
}

} // namespace

OperatorApi::OperatorApi(VmId self, const QByteArray &token, ConfigurationStore &store,
                         WorkerPool &workers, OperatorStatus status)
    : m_self(std::move(self))
    , m_tokenHash(tokenHash(token))
    , m_store(store)
    , m_workers(workers)
    , m_status(std::move(status))
{
}

OperatorApi::~OperatorApi() = default;

bool OperatorApi::handle(const HttpRequest &request, const Responder &responder)
{
    if (const std::optional<HttpResponse> page = consolePage(request.method, request.path)) {
        responder->send(*page);
        return true;
    }
    const bool isOwnPath = request.path == ConfigurationPath || request.path == ValidatePath
        || request.path == StatusPath;
    if (!isOwnPath)
        return false;
    if (!isAuthorized(request)) {
        HttpResponse refusal = problemResponse(
            error(ErrorKind::Unauthorized,
                  QStringLiteral("send the operator token as \"Authorization: Bearer TOKEN\""),
                  QStringLiteral("Authorization")));
        refusal.headers.add("WWW-Authenticate", "Bearer");
        responder->send(refusal);
        return true;
    }
    if (request.path == ValidatePath && request.method == "POST")
        handleValidate(request, responder);
    else if (request.path == StatusPath && request.method == "GET")
        handleStatus(responder);
    else if (request.path == ConfigurationPath)
        handleConfiguration(request, responder);
    else
        responder->send(problemResponse(
            error(ErrorKind::BadRequest, QStringLiteral("the path does not support this method"))));
    return true;
}

bool OperatorApi::isAuthorized(const HttpRequest &request) const
{
    const QByteArray header = request.headers.value("Authorization");
    if (m_tokenHash.isEmpty() || !header.startsWith(BearerScheme))
        return false;
    // Hashes of equal length are compared in constant time, so that the response time does not
    // reveal how much of a guessed token is correct.
    const QByteArray givenHash = tokenHash(header.mid(BearerScheme.size()));
    return givenHash.size() == m_tokenHash.size()
        && CRYPTO_memcmp(givenHash.constData(), m_tokenHash.constData(), size_t(givenHash.size()))
        == 0;
}

void OperatorApi::handleConfiguration(const HttpRequest &request, const Responder &responder)
{
    if (request.method == "GET")
        show(responder);
    else if (request.method == "PUT")
        put(request, responder);
    else
        responder->send(
            problemResponse(error(ErrorKind::BadRequest, QStringLiteral("expected GET or PUT"))));
}

void OperatorApi::show(const Responder &responder)
{
    if (!m_store.current()) {
        responder->send(problemResponse(
            error(ErrorKind::NotReady,
                  QStringLiteral("this daemon has not received a configuration yet"))));
        return;
    }
    HttpResponse response = objectResponse(m_store.document());
    response.headers.add("ETag", etag(m_store.version()));
    response.headers.add("Cache-Control", "no-store");
    responder->send(response);
}

void OperatorApi::put(const HttpRequest &request, const Responder &responder)
{
    const std::optional<ConfigurationVersion> expected =
        versionOfEtag(request.headers.value("If-Match"));
    if (!expected) {
        responder->send(problemResponse(
            error(ErrorKind::BadHeader,
                  QStringLiteral("expected If-Match with the version that the document is based "
                                 "on, as returned in the ETag of GET"),
                  QStringLiteral("If-Match"))));
        return;
    }
    m_workers.run(
        this, [body = request.body] { return parseDocument(body); },
        [this, expected = *expected, responder](const Result<QJsonObject> &document) {
            if (document.has_value())
                submit(expected, document.value(), responder);
            else
                responder->send(problemResponse(document.error()));
        });
}

void OperatorApi::submit(ConfigurationVersion expected, const QJsonObject &document,
                         const Responder &responder)
{
    const QPointer<OperatorApi> self(this);
    m_store.submit(expected, document, [self, expected, responder](const SubmitResult &result) {
        if (self)
            self->answerSubmission(expected, result, responder);
    });
}

void OperatorApi::answerSubmission(ConfigurationVersion expected, const SubmitResult &result,
                                   const Responder &responder)
{
    const QJsonObject version{{"version", result.version.value()}};
    switch (result.outcome) {
    case SubmitOutcome::Accepted: {
        HttpResponse response = objectResponse(version);
        response.headers.add("ETag", etag(result.version));
        responder->send(response);
        return;
    }
    case SubmitOutcome::VersionConflict: {
        const QString detail =
            QStringLiteral(
                "the current version is %1, not %2: rebase the change and submit it again")
                .arg(result.version.value())
                .arg(expected.value());
        QJsonObject extra = version;
        extra.insert(QStringLiteral("changes"), changesSince(m_store, expected));
        HttpResponse response =
            problemResponseWith(error(ErrorKind::VersionConflict, detail), extra);
        response.headers.add("ETag", etag(result.version));
        responder->send(response);
        return;
    }
    case SubmitOutcome::Invalid: {
        const QString detail = result.faults.first().text();
        Error fault = error(ErrorKind::InvalidConfiguration, detail, result.faults.first().path);
        responder->send(problemResponseWith(fault, {{"faults", faultList(result.faults)}}));
        return;
    }
    case SubmitOutcome::PlatformUnavailable:
        responder->send(problemResponse(
            error(ErrorKind::PlatformUnavailable,
                  QStringLiteral("the platform service does not respond; nothing was changed"))));
        return;
    case SubmitOutcome::Unsettled: {
        Error unsettled = error(
            ErrorKind::OutcomeUnknown,
            QStringLiteral("the platform service stopped responding: the change may have been "
                           "accepted; read the configuration when it responds again"));
        unsettled.ran = Ran::Maybe;
        responder->send(problemResponseWith(unsettled, {{"change_id", result.change.text()}}));
        return;
    }
    }
}

void OperatorApi::handleValidate(const HttpRequest &request, const Responder &responder)
{
    using Faults = Result<QList<ConfigurationFault>>;
    const auto validate = [body = request.body]() -> Faults {
        const Result<QJsonObject> document = parseDocument(body);
        if (!document.has_value())
            return document.error();
        return validateDocument(document.value());
    };
    m_workers.run(this, validate, [responder](const Faults &faults) {
        if (!faults.has_value()) {
            responder->send(problemResponse(faults.error()));
            return;
        }
        responder->send(objectResponse(
            {{"valid", faults.value().isEmpty()}, {"faults", faultList(faults.value())}}));
    });
}

void OperatorApi::handleStatus(const Responder &responder)
{
    const auto configuration = m_store.current();
    const QJsonObject status{
        {"vm", m_self.text()},
        {"ready", valueOrDefault(m_status.ready)},
        {"configuration_version",
         configuration ? QJsonValue(configuration->version.value()) : QJsonValue(QJsonValue::Null)},
        {"configuration_fault", m_store.fault()},
        {"platform_reachable", valueOrDefault(m_status.platformReachable)},
        {"members", valueOrDefault(m_status.members)},
        {"targets", valueOrDefault(m_status.targets)},
        {"quarantine", valueOrDefault(m_status.quarantine)},
    };
    responder->send(objectResponse(status));
}

} // namespace cranberry
