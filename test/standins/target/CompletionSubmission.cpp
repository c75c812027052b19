#include "standins/target/CompletionSubmission.h"

#include "http/HttpRequest.h"
#include "support/ExpectedText.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QUuid>

namespace cranberry::test {

namespace {

/// Bytes at the start of a prompt that the cache knows it by.
constexpr int PrefixBytes = 512;
constexpr int DefaultMaxTokens = 4096;

void setPrefix(Generation &generation, const QString &prompt, const QByteArray &salt)
{
    const QByteArray bytes = prompt.toUtf8();
    if (bytes.size() < PrefixBytes)
        return;
    const QString prefix = QString::fromUtf8(bytes.left(PrefixBytes));
    generation.prefixKey = promptHash(prefix) + '/' + salt;
    generation.prefixTokens = promptTokens(prefix);
}

} // namespace

QByteArray attemptOf(const HttpRequest &request)
{
    const QByteArray attempt = request.headers.value("Cranberry-Attempt");
    return attempt.isEmpty() ? QUuid::createUuid().toByteArray(QUuid::WithoutBraces) : attempt;
}

CompletionSubmission readCompletion(const HttpRequest &request, const AnswerLengths &lengths)
{
    const QJsonObject body = QJsonDocument::fromJson(request.body).object();
    CompletionSubmission submission;
    Answer &answer = submission.answer;
    answer.prompt = promptOf(body);
    answer.promptHash = promptHash(answer.prompt);
    answer.key = request.headers.value("Idempotency-Key");
    answer.salt = request.headers.value("Cranberry-Cache-Salt");
    answer.workspace = request.headers.value("Cranberry-Workspace");
    answer.chat = request.path.contains("/chat/");
    const int maxTokens = body.value(QLatin1String("max_tokens")).toInt(DefaultMaxTokens);
    Generation &generation = submission.generation;
    generation.attempt = attemptOf(request);
    generation.priority = request.headers.value("Cranberry-Priority").toInt();
    generation.promptTokens = promptTokens(answer.prompt);
    generation.length = answerLength(lengths, answer.promptHash, maxTokens);
    answer.cutByBound = generation.length == maxTokens;
    setPrefix(generation, answer.prompt, answer.salt);
    submission.stream = body.value(QLatin1String("stream")).toBool();
    return submission;
}

} // namespace cranberry::test
