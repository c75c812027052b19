#pragma once

#include "load/TimeHistogram.h"

#include <QJsonObject>
#include <QMap>
#include <QString>

namespace cranberry::load {

/// Metrics of the requests of one workspace.
struct WorkspaceMetrics {
    int requests = 0;
    int whole = 0;
    int refused = 0;
    qint64 tokens = 0;
    double stallMs = 0;
    TimeHistogram firstToken;
};

/// Metrics of a load as its callers observed them. Counts are of requests unless named otherwise.
/// Each request is counted in exactly one of whole, refused, failed and unfinished.
struct LoadMetrics {
    int requests = 0;
    int plainRequests = 0;
    /// The answer was complete, belonged to the request, and had each token once and in order.
    int whole = 0;
    int wholeInDeadline = 0;
    /// Refused or failed before the first token.
    int refused = 0;
    /// Ended after the first token without a complete and correct answer, or lost its connection,
    /// got a malformed response or timed out.
    int failed = 0;
    /// Still pending when the run ended.
    int unfinished = 0;
    QMap<QString, int> refusedByKind;
    QMap<QString, int> failedByKind;

    qint64 tokens = 0;
    qint64 wholeTokens = 0;
    qint64 wholeTokensInDeadline = 0;

    /// Tokens received in the second half of the arrival period. This is the sustained throughput
    /// of the engines: it leaves out the ramp-up and the backlog processed after the last arrival.
    qint64 steadyTokens = 0;

    qint64 tokensLost = 0;
    qint64 tokensDoubled = 0;
    /// The answer belonged to another request.
    int crossed = 0;
    /// The text was malformed or out of order.
    int wrongText = 0;
    /// The stream ended with status 200 but without its end marker or a finish reason.
    int truncated = 0;

    /// Sum of the gaps between tokens that exceed the stall threshold.
    double stallMs = 0;
    double worstStallMs = 0;
    int stalledStreams = 0;
    int streams = 0;

    TimeHistogram betweenTokens;
    TimeHistogram firstToken;
    TimeHistogram plainCalls;
    /// Delay between the planned and the actual send time of a request. Large values mean that the
    /// load generator was overloaded, so that the other times are not reliable.
    TimeHistogram sendLag;
    QMap<int, WorkspaceMetrics> workspaces;

    // Reported by the targets and daemons for the duration of the load.
    qint64 preemptions = 0;
    qint64 generatedTokens = 0;
    qint64 retries = 0;
    qint64 resumes = 0;
    /// At-most-once requests that ran more than once.
    int ranTwice = 0;
    /// Requests reported to the caller with "ran": "no" that a target did run.
    int ranThoughRefused = 0;

    /// Duration of the arrivals.
    double seconds = 0;

    double steadyTokensPerSecond() const
    {
        return seconds > 0 ? double(steadyTokens) / (seconds / 2) : 0;
    }
};

/// Adds @p other to @p sum, to aggregate over seeds; the worst stall is the maximum of both.
/// Thread-safe.
void addMetrics(LoadMetrics &sum, const LoadMetrics &other);

/// Formats @p metrics for the JSON report. Thread-safe.
QJsonObject metricsJson(const LoadMetrics &metrics);

/// Formats @p metrics as a human-readable table. Thread-safe.
QString metricsTable(const LoadMetrics &metrics);

} // namespace cranberry::load
