#pragma once

#include "base/Units.h"
#include "http/HttpExchangeEnd.h"
#include "http/HttpResponse.h"
#include "load/PlannedRequest.h"
#include "support/AnswerReader.h"

namespace cranberry::load {

struct LoadMetrics;

/// The outcome of one request of a load.
struct RequestResult {
    PlannedRequest request;
    /// False while the request is in flight; end and endedAt are then not set.
    bool hasEnded = false;
    HttpExchangeEnd end = HttpExchangeEnd::NotConnected;
    HttpResponse response;
    test::AnswerReader answer;
    MonotonicTime sentAt;
    MonotonicTime endedAt;
};

/// Classifies @p result and adds it to @p metrics; gaps longer than @p stallThreshold count as
/// stall time.
void recordResult(LoadMetrics &metrics, const RequestResult &result, Milliseconds stallThreshold);

/// Adds the tokens of @p result that were received in the second half of @p arrivals, the length of
/// the arrival period.
void recordSteadyTokens(LoadMetrics &metrics, const RequestResult &result, Milliseconds arrivals);

/// True if the response reports that the request did not run. Thread-safe.
bool isReportedNotRun(const RequestResult &result);

} // namespace cranberry::load
