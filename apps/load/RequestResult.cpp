#include "load/RequestResult.h"

#include "load/LoadMetrics.h"
#include "support/ExpectedText.h"

#include <QJsonDocument>

namespace cranberry::load {

namespace {

double millisecondsBetween(MonotonicTime from, MonotonicTime to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

/// The error event of the stream if there was one, otherwise the response body.
QJsonObject responseJson(const RequestResult &result)
{
    if (!result.answer.error().isEmpty())
        return result.answer.error();
    return QJsonDocument::fromJson(result.response.body).object();
}

QString failureKind(const RequestResult &result)
{
    QString kind = responseJson(result).value(QLatin1String("kind")).toString();
    if (!kind.isEmpty())
        return kind;
    switch (result.end) {
    case HttpExchangeEnd::NotConnected:
        return QStringLiteral("not_connected");
    case HttpExchangeEnd::Broken:
        return QStringLiteral("connection_broken");
    case HttpExchangeEnd::Malformed:
        return QStringLiteral("malformed");
    case HttpExchangeEnd::TimedOut:
        return QStringLiteral("timed_out");
    case HttpExchangeEnd::Complete:
        break;
    }
    return QStringLiteral("status_%1").arg(result.response.status);
}

/// Counts lost and duplicate tokens by their sequence numbers.
void recordTokenOrder(LoadMetrics &metrics, const QList<test::ReceivedToken> &tokens)
{
    int next = 0;
    for (const test::ReceivedToken &token : tokens) {
        if (token.id < next) {
            ++metrics.tokensDoubled;
            continue;
        }
        metrics.tokensLost += token.id - next;
        next = token.id + 1;
    }
}

void recordGaps(LoadMetrics &metrics, const RequestResult &result, Milliseconds stallThreshold)
{
    const QList<test::ReceivedToken> &tokens = result.answer.tokens();
    if (tokens.isEmpty())
        return;
    WorkspaceMetrics &workspace = metrics.workspaces[result.request.workspace];
    const double firstTokenMs = millisecondsBetween(result.sentAt, tokens.first().at);
    metrics.firstToken.add(firstTokenMs);
    workspace.firstToken.add(firstTokenMs);
    double stallMs = 0;
    for (int i = 1; i < tokens.size(); ++i) {
        const double gap = millisecondsBetween(tokens.at(i - 1).at, tokens.at(i).at);
        metrics.betweenTokens.add(gap);
        if (gap > double(stallThreshold.count()))
            stallMs += gap;
    }
    ++metrics.streams;
    metrics.stalledStreams += stallMs > 0 ? 1 : 0;
    metrics.stallMs += stallMs;
    metrics.worstStallMs = std::max(metrics.worstStallMs, stallMs);
    workspace.stallMs += stallMs;
    workspace.tokens += tokens.size();
    metrics.tokens += tokens.size();
}

/// True if the text is that of the request; otherwise counts the error.
bool checkText(LoadMetrics &metrics, const RequestResult &result)
{
    switch (test::checkAnswer(enginePrompt(result.request), result.answer.texts())) {
    case test::AnswerFault::None:
        return true;
    case test::AnswerFault::Crossed:
        ++metrics.crossed;
        return false;
    case test::AnswerFault::Malformed:
    case test::AnswerFault::OutOfOrder:
        ++metrics.wrongText;
        return false;
    }
    return false;
}

/// True if the answer of a plain call is that of the request; otherwise counts it as crossed.
bool checkPlainAnswer(LoadMetrics &metrics, const RequestResult &result)
{
    const QString hash = responseJson(result).value(QLatin1String("prompt_hash")).toString();
    if (hash.toUtf8() == test::promptHash(result.request.prompt))
        return true;
    ++metrics.crossed;
    return false;
}

void recordWhole(LoadMetrics &metrics, const RequestResult &result)
{
    const double durationMs = millisecondsBetween(result.sentAt, result.endedAt);
    const qint64 deadline = result.request.deadline.count();
    const bool isInDeadline = deadline == 0 || durationMs <= double(deadline);
    const qint64 tokens = result.answer.tokens().size();
    ++metrics.whole;
    ++metrics.workspaces[result.request.workspace].whole;
    metrics.wholeTokens += tokens;
    metrics.wholeInDeadline += isInDeadline ? 1 : 0;
    metrics.wholeTokensInDeadline += isInDeadline ? tokens : 0;
    if (result.request.kind == RequestKind::Plain)
        metrics.plainCalls.add(durationMs);
}

void recordFailure(LoadMetrics &metrics, const RequestResult &result)
{
    const bool isAnswered =
        result.end == HttpExchangeEnd::Complete || result.end == HttpExchangeEnd::NotConnected;
    const bool hasStarted = !result.answer.tokens().isEmpty() || !isAnswered;
    if (hasStarted) {
        ++metrics.failed;
        ++metrics.failedByKind[failureKind(result)];
        return;
    }
    ++metrics.refused;
    ++metrics.workspaces[result.request.workspace].refused;
    ++metrics.refusedByKind[failureKind(result)];
}

} // namespace

bool isReportedNotRun(const RequestResult &result)
{
    return result.hasEnded && responseJson(result).value(QLatin1String("ran")).toString() == u"no";
}

void recordSteadyTokens(LoadMetrics &metrics, const RequestResult &result, Milliseconds arrivals)
{
    const MonotonicTime start = result.sentAt - result.request.sendOffset;
    for (const test::ReceivedToken &token : result.answer.tokens())
        metrics.steadyTokens += token.at >= start + arrivals / 2 && token.at < start + arrivals;
}

void recordResult(LoadMetrics &metrics, const RequestResult &result, Milliseconds stallThreshold)
{
    const bool isPlain = result.request.kind == RequestKind::Plain;
    ++metrics.requests;
    ++metrics.workspaces[result.request.workspace].requests;
    metrics.plainRequests += isPlain ? 1 : 0;
    recordTokenOrder(metrics, result.answer.tokens());
    recordGaps(metrics, result, stallThreshold);
    const bool isCorrect =
        isPlain || result.answer.tokens().isEmpty() || checkText(metrics, result);
    if (!result.hasEnded) {
        ++metrics.unfinished;
        return;
    }
    const bool isComplete = result.end == HttpExchangeEnd::Complete && result.response.status == 200
        && result.answer.error().isEmpty();
    if (isPlain && isComplete && checkPlainAnswer(metrics, result)) {
        recordWhole(metrics, result);
        return;
    }
    const bool isTerminated = result.answer.isDone() && !result.answer.finishReason().isEmpty();
    if (isComplete && !isPlain && !isTerminated)
        ++metrics.truncated;
    if (isComplete && !isPlain && isTerminated && isCorrect && result.answer.idsAreConsecutive())
        recordWhole(metrics, result);
    else
        recordFailure(metrics, result);
}

} // namespace cranberry::load
