// Defines LoadMetrics, what the callers of a load experienced.
#pragma once

#include "load/TimeHistogram.h"

#include <QJsonObject>
#include <QMap>
#include <QString>

namespace cranberry::load {

struct WorkspaceMetrics {
    int requests = 0;
    int whole = 0;
    int refused = 0;
    qint64 tokens = 0;
    double stallMs = 0;
    TimeHistogram firstToken;
};

/// Counts are of requests unless named otherwise. Every request is counted once in whole,
/// refused, failed or unfinished.
struct LoadMetrics {
    int requests = 0;
    int plainRequests = 0;
    /// The whole answer came, was that of the request, each token once and in order.
    int whole = 0;
    int wholeInDeadline = 0;
    /// Refused or failed before the first token.
    int refused = 0;
    /// Ended after the first token without the whole answer, or broken off without an answer.
    int failed = 0;
    int unfinished = 0;
    QMap<QString, int> refusedByKind;
    QMap<QString, int> failedByKind;

    qint64 tokens = 0;
    qint64 wholeTokens = 0;
    qint64 wholeTokensInDeadline = 0;

    /// Tokens that came in the second half of the time in which requests arrive: what the
    /// engines carry, without the start and without what is worked off afterwards.
    qint64 steadyTokens = 0;

    qint64 tokensLost = 0;
    qint64 tokensDoubled = 0;
    int crossed = 0;
    int wrongText = 0;
    int truncated = 0;

    /// Sum of the gaps between tokens that are longer than the threshold.
    double stallMs = 0;
    double worstStallMs = 0;
    int stalledStreams = 0;
    int streams = 0;

    TimeHistogram betweenTokens;
    TimeHistogram firstToken;
    TimeHistogram plainCalls;
    /// How late the load tool itself sent; large values make the others doubtful.
    TimeHistogram sendLag;
    QMap<int, WorkspaceMetrics> workspaces;

    // From the targets and daemons, over the load.
    qint64 preemptions = 0;
    qint64 generatedTokens = 0;
    qint64 retries = 0;
    qint64 resumes = 0;
    /// At-most-once requests that ran more than once.
    int ranTwice = 0;
    /// Requests refused with "ran": "no" that a target did run.
    int ranThoughRefused = 0;

    double seconds = 0;

    double steadyTokensPerSecond() const
    {
        return seconds > 0 ? double(steadyTokens) / (seconds / 2) : 0;
    }
};

/// Adds the counts of @p other, so that seeds can be summed. Thread-safe.
void addMetrics(LoadMetrics &sum, const LoadMetrics &other);

/// Thread-safe.
QJsonObject metricsJson(const LoadMetrics &metrics);

/// The figures as a table for people. Thread-safe.
QString metricsTable(const LoadMetrics &metrics);

} // namespace cranberry::load
