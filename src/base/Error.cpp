#include "base/Error.h"

#include <QJsonDocument>
#include <QJsonObject>

namespace cranberry {

std::optional<int> retryAfter(const Error &error)
{
    if (error.retryAfterSeconds)
        return error.retryAfterSeconds;
    return errorAnswer(error.kind).retryAfterSeconds;
}

QByteArray problemJson(const Error &error)
{
    const ErrorAnswer &answer = errorAnswer(error.kind);
    QJsonObject problem{
        {QStringLiteral("type"), QStringLiteral("about:blank")},
        {QStringLiteral("title"), QString::fromLatin1(answer.title)},
        {QStringLiteral("status"), answer.httpStatus},
        {QStringLiteral("kind"), QString::fromLatin1(answer.name)},
        {QStringLiteral("ran"), QString::fromLatin1(ranName(error.ran))},
        {QStringLiteral("detail"), error.detail},
    };
    if (!error.field.isEmpty())
        problem.insert(QStringLiteral("field"), error.field);
    if (const std::optional<int> seconds = retryAfter(error))
        problem.insert(QStringLiteral("retry_after_s"), *seconds);
    return QJsonDocument(problem).toJson(QJsonDocument::Compact);
}

} // namespace cranberry
