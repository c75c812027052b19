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

QJsonObject problemOf(const RequestResult &result)
{
    if (!result.answer.error().isEmpty())
        return result.answer.error();
    return QJsonDocument::fromJson(result.response.body).object();
}

QString kindOf(const RequestResult &result)
{
    QString kind = problemOf(result).value(QLatin1String("kind")).toString();
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

/// Counts tokens whose numbers are missing or come again.
void recordNumbers(LoadMetrics &metrics, const QList<test::ReceivedToken> &tokens)
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
    const double first = millisecondsBetween(result.sentAt, tokens.first().at);
    metrics.firstToken.add(first);
    workspace.firstToken.add(first);
    double stall = 0;
    for (int i = 1; i < tokens.size(); ++i) {
        const double gap = millisecondsBetween(tokens.at(i - 1).at, tokens.at(i).at);
        metrics.betweenTokens.add(gap);
        if (gap > double(stallThreshold.count()))
            stall += gap;
    }
    ++metrics.streams;
    metrics.stalledStreams += stall > 0 ? 1 : 0;
    metrics.stallMs += stall;
    metrics.worstStallMs = std::max(metrics.worstStallMs, stall);
    workspace.stallMs += stall;
    workspace.tokens += tokens.size();
    metrics.tokens += tokens.size();
}

bool textIsRight(LoadMetrics &metrics, const RequestResult &result)
{
    switch (test::checkAnswer(promptSeen(result.request), result.answer.texts())) {
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

bool plainIsRight(LoadMetrics &metrics, const RequestResult &result)
{
    const QString hash = problemOf(result).value(QLatin1String("prompt_hash")).toString();
    if (hash.toUtf8() == test::promptHash(result.request.prompt))
        return true;
    ++metrics.crossed;
    return false;
}

void recordWhole(LoadMetrics &metrics, const RequestResult &result)
{
    const double took = millisecondsBetween(result.sentAt, result.endedAt);
    const qint64 deadline = result.request.deadline.count();
    const bool inDeadline = deadline == 0 || took <= double(deadline);
    const qint64 tokens = result.answer.tokens().size();
    ++metrics.whole;
    ++metrics.workspaces[result.request.workspace].whole;
    metrics.wholeTokens += tokens;
    metrics.wholeInDeadline += inDeadline ? 1 : 0;
    metrics.wholeTokensInDeadline += inDeadline ? tokens : 0;
    if (result.request.kind == RequestKind::Plain)
        metrics.plainCalls.add(took);
}

void recordFailure(LoadMetrics &metrics, const RequestResult &result)
{
    const bool answered =
        result.end == HttpExchangeEnd::Complete || result.end == HttpExchangeEnd::NotConnected;
    const bool begun = !result.answer.tokens().isEmpty() || !answered;
    if (begun) {
        ++metrics.failed;
        ++metrics.failedByKind[kindOf(result)];
        return;
    }
    ++metrics.refused;
    ++metrics.workspaces[result.request.workspace].refused;
    ++metrics.refusedByKind[kindOf(result)];
}

} // namespace

bool toldNotRun(const RequestResult &result)
{
    return result.ended && problemOf(result).value(QLatin1String("ran")).toString() == u"no";
}

void recordSteadyTokens(LoadMetrics &metrics, const RequestResult &result, Milliseconds arrivals)
{
    const MonotonicTime start = result.sentAt - result.request.at;
    for (const test::ReceivedToken &token : result.answer.tokens())
        metrics.steadyTokens += token.at >= start + arrivals / 2 && token.at < start + arrivals;
}

void recordResult(LoadMetrics &metrics, const RequestResult &result, Milliseconds stallThreshold)
{
    const bool plain = result.request.kind == RequestKind::Plain;
    ++metrics.requests;
    ++metrics.workspaces[result.request.workspace].requests;
    metrics.plainRequests += plain ? 1 : 0;
    recordNumbers(metrics, result.answer.tokens());
    recordGaps(metrics, result, stallThreshold);
    const bool right = plain || result.answer.tokens().isEmpty() || textIsRight(metrics, result);
    if (!result.ended) {
        ++metrics.unfinished;
        return;
    }
    const bool complete = result.end == HttpExchangeEnd::Complete && result.response.status == 200
        && result.answer.error().isEmpty();
    if (plain && complete && plainIsRight(metrics, result)) {
        recordWhole(metrics, result);
        return;
    }
    const bool closed = result.answer.isDone() && !result.answer.finishReason().isEmpty();
    if (complete && !plain && !closed)
        ++metrics.truncated;
    if (complete && !plain && closed && right && result.answer.idsAreConsecutive())
        recordWhole(metrics, result);
    else
        recordFailure(metrics, result);
}

} // namespace cranberry::load
