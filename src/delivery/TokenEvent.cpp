#include "delivery/TokenEvent.h"

#include "delivery/ServerSentEventParser.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace cranberry {

namespace {

Error malformed(const QString &detail)
{
    return {ErrorKind::TargetFailed, Ran::Yes, detail, {}, {}};
}

QString textOfChoice(const QJsonObject &choice)
{
    const QJsonValue delta = choice.value(QStringLiteral("delta"));
    if (delta.isObject())
        return delta.toObject().value(QStringLiteral("content")).toString();
    return choice.value(QStringLiteral("text")).toString();
}

} // namespace

Result<TokenEvent> parseTokenEvent(const ServerSentEvent &event)
{
    bool isNumber = false;
    TokenEvent token;
    token.index = event.id.toLongLong(&isNumber);
    if (!isNumber || token.index < 0)
        return malformed(QStringLiteral("an event has no numeric id"));
    const QJsonObject object = QJsonDocument::fromJson(event.data).object();
    const QJsonObject choice = object.value(QStringLiteral("choices")).toArray().at(0).toObject();
    if (choice.isEmpty())
        return malformed(QStringLiteral("an event has no choice"));
    token.attempt = AttemptId(object.value(QStringLiteral("id")).toString());
    token.data = event.data;
    token.text = textOfChoice(choice);
    token.finishReason = choice.value(QStringLiteral("finish_reason")).toString();
    const QJsonValue usage = object.value(QStringLiteral("usage"));
    if (usage.isObject())
        token.usage = QJsonDocument(usage.toObject()).toJson(QJsonDocument::Compact);
    return token;
}

} // namespace cranberry
