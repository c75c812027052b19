#include "relay/ForwardMessage.h"

#include "http/HttpRequest.h"
#include "relay/CborDocument.h"

#include <QCborArray>
#include <QCborMap>
#include <QCborValue>

namespace cranberry {

namespace {

enum Field : qint64 {
    From,
    Id,
    Method,
    Target,
    Host,
    Headers,
    Body,
    PromptTokens,
    MaxOutput,
    ExpectedOutput,
    RouteName,
    Kind,
    Timeout,
    Objective,
    Priority,
    MaxAttempts,
    Service,
    Workspace,
    Age,
    Left,
    IsCounted,
    PromptParts,
};

QCborArray encodeHeaders(const HttpHeaders &headers)
{
    QCborArray fields;
    for (const HttpHeaders::Field &field : headers.fields())
        fields.append(QCborArray{field.first, field.second});
    return fields;
}

HttpHeaders decodeHeaders(const QCborArray &fields)
{
    HttpHeaders headers;
    for (const QCborValue field : fields)
        headers.add(field.toArray().at(0).toByteArray(), field.toArray().at(1).toByteArray());
    return headers;
}

std::optional<RequestKind> decodeKind(const QCborValue &value)
{
    for (const RequestKind kind :
         {RequestKind::Idempotent, RequestKind::AtMostOnce, RequestKind::Stream}) {
        if (value.isInteger() && value.toInteger() == qint64(kind))
            return kind;
    }
    return std::nullopt;
}

std::optional<Milliseconds> decodeDuration(const QCborValue &value)
{
    constexpr qint64 MaxMilliseconds = 24 * 3600 * 1000;
    const qint64 milliseconds = value.toInteger(-1);
    if (milliseconds < 0 || milliseconds > MaxMilliseconds)
        return std::nullopt;
    return Milliseconds(milliseconds);
}

Tokens decodeTokens(const QCborValue &value)
{
    return Tokens(std::max<qint64>(value.toInteger(), 0));
}

} // namespace

HttpRequest encodeForward(const ForwardMessage &message)
{
    const RelayRequest &request = message.request;
    const RelayRoute &route = message.route;
    QCborMap map{{From, message.from.text()},
                 {Id, request.id.text()},
                 {Method, request.method},
                 {Target, request.target},
                 {Host, request.host},
                 {Headers, encodeHeaders(request.headers)},
                 {Body, request.body},
                 {PromptTokens, request.promptTokens.value()},
                 {MaxOutput, request.maxOutput.value()},
                 {RouteName, route.name},
                 {Kind, qint64(route.kind)},
                 {Timeout, qint64(route.timeout.count())},
                 {Objective, qint64(route.objective.count())},
                 {Priority, route.priority},
                 {MaxAttempts, route.maxAttempts},
                 {Service, message.service.text()},
                 {Workspace, message.workspace.text()},
                 {Age, qint64(message.age.count())},
                 {Left, qint64(message.left.count())},
                 {IsCounted, message.isCounted}};
    QCborArray parts;
    for (const QByteArray &part : request.promptParts)
        parts.append(part);
    map.insert(PromptParts, parts);
    if (request.expectedOutput)
        map.insert(ExpectedOutput, request.expectedOutput->value());
    HttpRequest encoded;
    encoded.method = "POST";
    encoded.path = ForwardPath;
    encoded.headers.add("Content-Type", "application/cbor");
    encoded.body = map.toCborValue().toCbor();
    return encoded;
}

std::optional<ForwardMessage> decodeForward(const QByteArray &body)
{
    const std::optional<QCborValue> document = decodeCborDocument(body);
    if (!document || !document->isMap())
        return std::nullopt;
    const QCborMap map = document->toMap();
    const std::optional<RequestKind> kind = decodeKind(map.value(Kind));
    const std::optional<Milliseconds> timeout = decodeDuration(map.value(Timeout));
    const std::optional<Milliseconds> objective = decodeDuration(map.value(Objective));
    const std::optional<Milliseconds> age = decodeDuration(map.value(Age));
    const std::optional<Milliseconds> left = decodeDuration(map.value(Left));
    if (!kind || !timeout || !objective || !age || !left)
        return std::nullopt;
    ForwardMessage message;
    message.from = VmId(map.value(From).toString());
    RelayRequest &request = message.request;
    request.id = RequestId(map.value(Id).toString());
    request.method = map.value(Method).toByteArray();
    request.target = map.value(Target).toByteArray();
    request.host = map.value(Host).toByteArray();
    request.headers = decodeHeaders(map.value(Headers).toArray());
    request.body = map.value(Body).toByteArray();
    request.promptTokens = decodeTokens(map.value(PromptTokens));
    request.maxOutput = decodeTokens(map.value(MaxOutput));
    if (map.contains(ExpectedOutput))
        request.expectedOutput = decodeTokens(map.value(ExpectedOutput));
    for (const QCborValue part : map.value(PromptParts).toArray())
        request.promptParts.append(part.toByteArray());
    request.callerTimeout = *age + *left;
    message.route.name = map.value(RouteName).toString();
    message.route.kind = *kind;
    message.route.timeout = *timeout;
    message.route.objective = *objective;
    message.route.priority = int(map.value(Priority).toInteger());
    message.route.maxAttempts = int(map.value(MaxAttempts).toInteger(1));
    message.service = ServiceId(map.value(Service).toString());
    message.workspace = WorkspaceId(map.value(Workspace).toString());
    message.age = *age;
    message.left = *left;
    message.isCounted = map.value(IsCounted).toBool();
    const bool isValid = !message.from.isEmpty() && !request.id.isEmpty()
        && !request.method.isEmpty() && request.target.startsWith('/') && !message.service.isEmpty()
        && message.route.maxAttempts > 0;
    return isValid ? std::optional<ForwardMessage>(message) : std::nullopt;
}

} // namespace cranberry
