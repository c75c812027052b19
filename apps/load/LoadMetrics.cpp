#include "load/LoadMetrics.h"

#include <QTextStream>

namespace cranberry::load {

namespace {

double perSecond(qint64 count, double seconds)
{
    return seconds > 0 ? double(count) / seconds : 0;
}

QJsonObject timesJson(const TimeHistogram &times)
{
    return {{QStringLiteral("count"), times.count()},
            {QStringLiteral("mean_ms"), times.mean()},
            {QStringLiteral("p50_ms"), times.quantile(0.5)},
            {QStringLiteral("p95_ms"), times.quantile(0.95)},
            {QStringLiteral("p99_ms"), times.quantile(0.99)},
            {QStringLiteral("p99_9_ms"), times.quantile(0.999)},
            {QStringLiteral("max_ms"), times.max()}};
}

QJsonObject countsJson(const QMap<QString, int> &counts)
{
    QJsonObject object;
    for (auto entry = counts.begin(); entry != counts.end(); ++entry)
        object.insert(entry.key(), entry.value());
    return object;
}

QJsonObject workspacesJson(const QMap<int, WorkspaceMetrics> &workspaces)
{
    QJsonObject object;
    for (auto entry = workspaces.begin(); entry != workspaces.end(); ++entry) {
        object.insert(QStringLiteral("w%1").arg(entry.key()),
                      QJsonObject{{QStringLiteral("requests"), entry->requests},
                                  {QStringLiteral("whole"), entry->whole},
                                  {QStringLiteral("refused"), entry->refused},
                                  {QStringLiteral("tokens"), entry->tokens},
                                  {QStringLiteral("stall_ms"), entry->stallMs},
                                  {QStringLiteral("first_token"), timesJson(entry->firstToken)}});
    }
    return object;
}

QString timesRow(const char *name, const TimeHistogram &times)
{
    return QStringLiteral("%1 %2 %3 %4 %5 %6\n")
        .arg(QString::fromLatin1(name), -20)
        .arg(times.quantile(0.5), 9, 'f', 1)
        .arg(times.quantile(0.95), 9, 'f', 1)
        .arg(times.quantile(0.99), 9, 'f', 1)
        .arg(times.quantile(0.999), 9, 'f', 1)
        .arg(times.max(), 9, 'f', 1);
}

QString kindsText(const QMap<QString, int> &counts)
{
    QString text;
    for (auto entry = counts.begin(); entry != counts.end(); ++entry)
        text += QStringLiteral(" %1=%2").arg(entry.key()).arg(entry.value());
    return text;
}

void addCounts(QMap<QString, int> &sum, const QMap<QString, int> &other)
{
    for (auto entry = other.begin(); entry != other.end(); ++entry)
        sum[entry.key()] += entry.value();
}

void addWorkspaces(QMap<int, WorkspaceMetrics> &sum, const QMap<int, WorkspaceMetrics> &other)
{
    for (auto entry = other.begin(); entry != other.end(); ++entry) {
        WorkspaceMetrics &workspace = sum[entry.key()];
        workspace.requests += entry->requests;
        workspace.whole += entry->whole;
        workspace.refused += entry->refused;
        workspace.tokens += entry->tokens;
        workspace.stallMs += entry->stallMs;
        workspace.firstToken.add(entry->firstToken);
    }
}

} // namespace

void addMetrics(LoadMetrics &sum, const LoadMetrics &other)
{
    sum.requests += other.requests;
    sum.plainRequests += other.plainRequests;
    sum.whole += other.whole;
    sum.wholeInDeadline += other.wholeInDeadline;
    sum.refused += other.refused;
    sum.failed += other.failed;
    sum.unfinished += other.unfinished;
    addCounts(sum.refusedByKind, other.refusedByKind);
    addCounts(sum.failedByKind, other.failedByKind);
    sum.tokens += other.tokens;
    sum.wholeTokens += other.wholeTokens;
    sum.wholeTokensInDeadline += other.wholeTokensInDeadline;
    sum.steadyTokens += other.steadyTokens;
    sum.tokensLost += other.tokensLost;
    sum.tokensDoubled += other.tokensDoubled;
    sum.crossed += other.crossed;
    sum.wrongText += other.wrongText;
    sum.truncated += other.truncated;
    sum.stallMs += other.stallMs;
    sum.worstStallMs = std::max(sum.worstStallMs, other.worstStallMs);
    sum.stalledStreams += other.stalledStreams;
    sum.streams += other.streams;
    sum.betweenTokens.add(other.betweenTokens);
    sum.firstToken.add(other.firstToken);
    sum.plainCalls.add(other.plainCalls);
    sum.sendLag.add(other.sendLag);
    addWorkspaces(sum.workspaces, other.workspaces);
    sum.preemptions += other.preemptions;
    sum.generatedTokens += other.generatedTokens;
    sum.retries += other.retries;
    sum.resumes += other.resumes;
    sum.ranTwice += other.ranTwice;
    sum.ranThoughRefused += other.ranThoughRefused;
    sum.seconds += other.seconds;
}

QJsonObject metricsJson(const LoadMetrics &metrics)
{
    QJsonObject object{
        {QStringLiteral("requests"), metrics.requests},
        {QStringLiteral("plain_requests"), metrics.plainRequests},
        {QStringLiteral("whole"), metrics.whole},
        {QStringLiteral("whole_in_deadline"), metrics.wholeInDeadline},
        {QStringLiteral("refused"), metrics.refused},
        {QStringLiteral("failed"), metrics.failed},
        {QStringLiteral("unfinished"), metrics.unfinished},
        {QStringLiteral("refused_by_kind"), countsJson(metrics.refusedByKind)},
        {QStringLiteral("failed_by_kind"), countsJson(metrics.failedByKind)},
        {QStringLiteral("tokens_lost"), metrics.tokensLost},
        {QStringLiteral("tokens_doubled"), metrics.tokensDoubled},
        {QStringLiteral("crossed"), metrics.crossed},
        {QStringLiteral("wrong_text"), metrics.wrongText},
        {QStringLiteral("truncated"), metrics.truncated},
        {QStringLiteral("ran_twice"), metrics.ranTwice},
        {QStringLiteral("ran_though_refused"), metrics.ranThoughRefused},
        {QStringLiteral("preemptions"), metrics.preemptions},
        {QStringLiteral("retries"), metrics.retries},
        {QStringLiteral("resumes"), metrics.resumes},
    };
    object.insert(QStringLiteral("seconds"), metrics.seconds);
    object.insert(QStringLiteral("tokens_per_second"), perSecond(metrics.tokens, metrics.seconds));
    object.insert(QStringLiteral("goodput_tokens_per_second"),
                  perSecond(metrics.wholeTokens, metrics.seconds));
    object.insert(QStringLiteral("goodput_in_deadline_tokens_per_second"),
                  perSecond(metrics.wholeTokensInDeadline, metrics.seconds));
    object.insert(QStringLiteral("steady_tokens_per_second"), metrics.steadyTokensPerSecond());
    object.insert(QStringLiteral("generated_tokens"), metrics.generatedTokens);
    object.insert(QStringLiteral("stall_ms"), metrics.stallMs);
    object.insert(QStringLiteral("stall_ms_per_stream"),
                  metrics.streams > 0 ? metrics.stallMs / metrics.streams : 0);
    object.insert(QStringLiteral("worst_stream_stall_ms"), metrics.worstStallMs);
    object.insert(QStringLiteral("stalled_streams"), metrics.stalledStreams);
    object.insert(QStringLiteral("streams"), metrics.streams);
    object.insert(QStringLiteral("between_tokens"), timesJson(metrics.betweenTokens));
    object.insert(QStringLiteral("first_token"), timesJson(metrics.firstToken));
    object.insert(QStringLiteral("plain_calls"), timesJson(metrics.plainCalls));
    object.insert(QStringLiteral("send_lag"), timesJson(metrics.sendLag));
    object.insert(QStringLiteral("workspaces"), workspacesJson(metrics.workspaces));
    return object;
}

QString metricsTable(const LoadMetrics &metrics)
{
    QString text;
    QTextStream out(&text);
    out << "requests " << metrics.requests << " (plain " << metrics.plainRequests << "): whole "
        << metrics.whole << ", in deadline " << metrics.wholeInDeadline << ", refused "
        << metrics.refused << ", failed " << metrics.failed << ", unfinished " << metrics.unfinished
        << '\n';
    if (!metrics.refusedByKind.isEmpty())
        out << "refused by kind:" << kindsText(metrics.refusedByKind) << '\n';
    if (!metrics.failedByKind.isEmpty())
        out << "failed by kind:" << kindsText(metrics.failedByKind) << '\n';
    out << "tokens lost " << metrics.tokensLost << ", doubled " << metrics.tokensDoubled
        << "; answers crossed " << metrics.crossed << ", wrong " << metrics.wrongText
        << ", truncated " << metrics.truncated << "; ran twice " << metrics.ranTwice
        << ", ran though refused " << metrics.ranThoughRefused << '\n';
    out << "tokens/s " << perSecond(metrics.tokens, metrics.seconds) << ", goodput "
        << perSecond(metrics.wholeTokens, metrics.seconds) << ", in deadline "
        << perSecond(metrics.wholeTokensInDeadline, metrics.seconds) << ", steady "
        << metrics.steadyTokensPerSecond() << " over " << metrics.seconds << " s\n";
    out << "stall time " << metrics.stallMs << " ms in " << metrics.stalledStreams << " of "
        << metrics.streams << " streams, worst stream " << metrics.worstStallMs << " ms\n";
    out << "preemptions " << metrics.preemptions << ", retries " << metrics.retries << ", resumes "
        << metrics.resumes << '\n';
    out << "milliseconds               p50       p95       p99     p99.9       max\n"
        << timesRow("between tokens", metrics.betweenTokens)
        << timesRow("first token", metrics.firstToken)
        << timesRow("plain calls", metrics.plainCalls) << timesRow("own send lag", metrics.sendLag);
    return text;
}

} // namespace cranberry::load
