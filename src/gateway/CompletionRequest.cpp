#include "gateway/CompletionRequest.h"

#include "configuration/Configuration.h"
#include "gateway/ArrivalTime.h"
#include "gateway/CallerHeaders.h"
#include "http/HttpRequest.h"

#include <QCryptographicHash>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUuid>

#include <cmath>

namespace cranberry {

namespace {

/// Estimated bytes of prompt text per token, used until the target has reported its own count.
constexpr qint64 BytesPerToken = 4;
/// Length of the prompt's start that is hashed to identify the cached prefix it can share.
constexpr qsizetype PrefixBytes = 256;

const QString ModelMember = QStringLiteral("model");
const QString PromptMember = QStringLiteral("prompt");
const QString MessagesMember = QStringLiteral("messages");
const QString MaxTokensMember = QStringLiteral("max_tokens");
const QString StreamMember = QStringLiteral("stream");

Error badMember(const QString &path, const QString &allowed, const QJsonValue &value)
{
    const QString found = value.isUndefined()
        ? QStringLiteral("nothing")
        : QString::fromUtf8(
              QJsonDocument(QJsonArray{value}).toJson(QJsonDocument::Compact).mid(1, 80))
              .chopped(1);
    return {ErrorKind::BadRequest,
            Ran::No,
            QStringLiteral("%1: expected %2, got %3").arg(path, allowed, found),
            path,
            {}};
}

Result<QJsonObject> parseBody(const QByteArray &body)
{
    QJsonParseError parseError;
    const QJsonDocument document = QJsonDocument::fromJson(body, &parseError);
    if (parseError.error != QJsonParseError::NoError)
        return Error{ErrorKind::BadRequest,
                     Ran::No,
                     QStringLiteral("body: invalid JSON at byte %1: %2")
                         .arg(parseError.offset)
                         .arg(parseError.errorString()),
                     QStringLiteral("body"),
                     {}};
    if (!document.isObject())
        return Error{ErrorKind::BadRequest,
                     Ran::No,
                     QStringLiteral("body: expected an object"),
                     QStringLiteral("body"),
                     {}};
    return document.object();
}

/// The text of the prompt or of all messages, from which length and prefix are computed.
Result<QString> promptText(const QJsonObject &body, CompletionShape shape)
{
    if (shape == CompletionShape::Text) {
        const QJsonValue prompt = body.value(PromptMember);
        if (!prompt.isString())
            return badMember(PromptMember, QStringLiteral("a string"), prompt);
        return prompt.toString();
    }
    const QJsonValue messages = body.value(MessagesMember);
    if (!messages.isArray() || messages.toArray().isEmpty())
        return badMember(MessagesMember, QStringLiteral("a non-empty array"), messages);
    QString text;
    int index = 0;
    for (const QJsonValue message : messages.toArray()) {
        const QJsonValue content = message.toObject().value(QStringLiteral("content"));
        if (!content.isString())
            return badMember(QStringLiteral("messages[%1].content").arg(index),
                             QStringLiteral("a string"), content);
        text += content.toString() + u'\n';
        ++index;
    }
    return text;
}

Result<Tokens> maxTokens(const QJsonObject &body, Tokens limit)
{
    const QJsonValue value = body.value(MaxTokensMember);
    if (value.isUndefined())
        return limit;
    const double number = value.toDouble(-1);
    const bool allowed = value.isDouble() && number >= 1 && number <= double(limit.value())
        && std::floor(number) == number;
    if (!allowed)
        return badMember(MaxTokensMember, QStringLiteral("1..%1").arg(limit.value()), value);
    return Tokens(qint64(number));
}

/// The configuration of the requested model, if the workspace may use it.
Result<ModelConfiguration> permittedModel(const QJsonObject &body, const WorkspaceId &workspace,
                                          const Configuration &configuration)
{
    const QJsonValue name = body.value(ModelMember);
    if (!name.isString())
        return badMember(ModelMember, QStringLiteral("a string"), name);
    const auto model = configuration.models.constFind(ModelId(name.toString()));
    const auto workspaceSettings = configuration.workspaces.constFind(workspace);
    const bool known = model != configuration.models.constEnd()
        && workspaceSettings != configuration.workspaces.constEnd()
        && workspaceSettings->services.contains(model->service);
    // A model of a service that the workspace may not use is reported as unknown, so that a
    // caller cannot probe for names.
    if (!known)
        return Error{
            ErrorKind::UnknownModel,
            Ran::No,
            QStringLiteral(
                "model: \"%1\" is not one that this workspace can use; GET /v1/models lists them")
                .arg(name.toString().left(80)),
            ModelMember,
            {}};
    return *model;
}

QByteArray sha256(std::initializer_list<QByteArray> parts)
{
    QCryptographicHash hash(QCryptographicHash::Sha256);
    for (const QByteArray &part : parts) {
        hash.addData(QByteArray::number(part.size()) + ':');
        hash.addData(part);
    }
    return hash.result();
}

quint64 prefixHashOf(const QByteArray &salt, const QString &text)
{
    const QByteArray prefix = text.toUtf8().left(PrefixBytes);
    return sha256({salt, prefix}).left(8).toHex().toULongLong(nullptr, 16);
}

/// The request body for the target: always streamed and with an explicit token limit.
QByteArray targetBody(QJsonObject body, Tokens tokenLimit)
{
    body.insert(StreamMember, true);
    body.insert(MaxTokensMember, tokenLimit.value());
    return QJsonDocument(body).toJson(QJsonDocument::Compact);
}

/// Sets how the request is run, from the caller's headers or the defaults of the service.
Result<void> applyHeaders(GenerationRequest &generation, const CallerHeaders &headers,
                          const ServiceConfiguration &service, const ArrivalTime &arrival)
{
    generation.priority = headers.priority;
    generation.deadline = arrival.monotonic + headers.deadline.value_or(service.defaultDeadline);
    generation.atMostOnce = headers.atMostOnce.value_or(service.atMostOnce);
    const bool hasKey = !headers.idempotencyKey.isEmpty();
    if (generation.atMostOnce) {
        BOOST_OUTCOME_TRY(checkAtMostOnceKey(headers.idempotencyKey, arrival));
    }
    if (hasKey)
        generation.claimKey = claimKeyOf(generation.workspace, headers.idempotencyKey);
    return outcome::success();
}

} // namespace

QByteArray claimKeyOf(const WorkspaceId &workspace, const QByteArray &idempotencyKey)
{
    return sha256({workspace.text().toUtf8(), idempotencyKey});
}

Result<CompletionRequest> parseCompletion(const HttpRequest &request, CompletionShape shape,
                                          const WorkspaceId &workspace,
                                          const std::shared_ptr<const Configuration> &configuration,
                                          const ArrivalTime &arrival)
{
    BOOST_OUTCOME_TRY(headers, parseCallerHeaders(request));
    BOOST_OUTCOME_TRY(body, parseBody(request.body));
    BOOST_OUTCOME_TRY(model, permittedModel(body, workspace, *configuration));
    BOOST_OUTCOME_TRY(text, promptText(body, shape));
    BOOST_OUTCOME_TRY(tokenLimit, maxTokens(body, model.maxTokens));
    const QJsonValue stream = body.value(StreamMember);
    if (!stream.isUndefined() && !stream.isBool())
        return badMember(StreamMember, QStringLiteral("true or false"), stream);

    CompletionRequest result;
    result.shape = shape;
    result.stream = stream.toBool();
    GenerationRequest &generation = result.generation;
    generation.id = RequestId(QUuid::createUuid().toString(QUuid::WithoutBraces));
    generation.workspace = workspace;
    generation.service = model.service;
    generation.model = ModelId(body.value(ModelMember).toString());
    generation.configuration = configuration;
    generation.path = request.path;
    generation.promptTokens = Tokens(text.toUtf8().size() / BytesPerToken + 1);
    generation.maxTokens = tokenLimit;
    generation.cacheSalt =
        sha256({workspace.text().toUtf8(), model.service.text().toUtf8()}).toHex().left(32);
    generation.prefixHash = prefixHashOf(generation.cacheSalt, text);
    BOOST_OUTCOME_TRY(
        applyHeaders(generation, headers, configuration->services.value(model.service), arrival));
    // The same request with and without streaming has the same fingerprint.
    body.remove(StreamMember);
    generation.fingerprint =
        sha256({request.path, QJsonDocument(body).toJson(QJsonDocument::Compact)});
    generation.body = targetBody(body, tokenLimit);
    generation.crashFingerprint = requestFingerprint(workspace, request.path, generation.body);
    return result;
}

} // namespace cranberry
