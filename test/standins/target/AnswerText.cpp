#include "standins/target/AnswerText.h"

#include "standins/target/EngineModel.h"
#include "support/ExpectedText.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace cranberry::test {

namespace {

QJsonObject usageOf(const Generation &generation)
{
    return {{QStringLiteral("prompt_tokens"), generation.promptTokens},
            {QStringLiteral("completion_tokens"), generation.generated},
            {QStringLiteral("total_tokens"), generation.promptTokens + generation.generated}};
}

QJsonObject completionOf(const Generation &generation, const Answer &answer, const QString &object,
                         QJsonObject choice)
{
    choice.insert(QStringLiteral("index"), 0);
    choice.insert(QStringLiteral("finish_reason"),
                  answer.cutByBound ? QStringLiteral("length") : QStringLiteral("stop"));
    return {{QStringLiteral("id"), QString::fromUtf8(generation.attempt)},
            {QStringLiteral("object"), object},
            {QStringLiteral("choices"), QJsonArray{choice}},
            {QStringLiteral("usage"), usageOf(generation)}};
}

} // namespace

QByteArray tokenEvent(const QByteArray &attempt, const Answer &answer, int index)
{
    const QByteArray text = tokenText(attempt, answer.promptHash, index);
    const QByteArray choice = answer.chat
        ? R"({"index":0,"delta":{"content":")" + text + R"("},"finish_reason":null})"
        : R"({"index":0,"text":")" + text + R"(","finish_reason":null})";
    const QByteArray object = answer.chat ? "chat.completion.chunk" : "text_completion";
    return "id: " + QByteArray::number(index) + "\ndata: {\"id\":\"" + attempt + "\",\"object\":\""
        + object + "\",\"choices\":[" + choice + "]}\n\n";
}

QByteArray lastEvent(const Generation &generation, const Answer &answer)
{
    const QJsonObject choice = answer.chat
        ? QJsonObject{{QStringLiteral("delta"),
                       QJsonObject{{QStringLiteral("content"), QString()}}}}
        : QJsonObject{{QStringLiteral("text"), QString()}};
    const QString object =
        answer.chat ? QStringLiteral("chat.completion.chunk") : QStringLiteral("text_completion");
    const QJsonObject event = completionOf(generation, answer, object, choice);
    return "id: " + QByteArray::number(generation.generated)
        + "\ndata: " + QJsonDocument(event).toJson(QJsonDocument::Compact) + "\n\ndata: [DONE]\n\n";
}

QByteArray wholeAnswer(const Generation &generation, const Answer &answer)
{
    QByteArray bytes;
    for (int i = 0; i < generation.generated; ++i)
        bytes += tokenText(generation.attempt, answer.promptHash, i);
    const QString text = QString::fromUtf8(bytes);
    QJsonObject choice{{QStringLiteral("text"), text}};
    if (answer.chat) {
        choice = {{QStringLiteral("message"),
                   QJsonObject{{QStringLiteral("role"), QStringLiteral("assistant")},
                               {QStringLiteral("content"), text}}}};
    }
    const QString object =
        answer.chat ? QStringLiteral("chat.completion") : QStringLiteral("text_completion");
    const QJsonObject body = completionOf(generation, answer, object, choice);
    return QJsonDocument(body).toJson(QJsonDocument::Compact);
}

} // namespace cranberry::test
