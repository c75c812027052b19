// Defines RequestResult, how one request of a load ended, and how it is judged.
#pragma once

#include "base/Units.h"
#include "http/HttpExchangeEnd.h"
#include "http/HttpResponse.h"
#include "load/PlannedRequest.h"
#include "support/AnswerReader.h"

namespace cranberry::load {

struct LoadMetrics;

struct RequestResult {
    PlannedRequest request;
    /// Empty while it is under way.
    bool ended = false;
    HttpExchangeEnd end = HttpExchangeEnd::NotConnected;
    HttpResponse response;
    test::AnswerReader answer;
    MonotonicTime sentAt;
    MonotonicTime endedAt;
};

/// Adds one result to @p metrics; gaps longer than @p stallThreshold count as stall time.
void recordResult(LoadMetrics &metrics, const RequestResult &result, Milliseconds stallThreshold);

/// Adds the tokens of @p result that came in the second half of @p arrivals, the time in which
/// requests arrive.
void recordSteadyTokens(LoadMetrics &metrics, const RequestResult &result, Milliseconds arrivals);

/// True if the caller was told that the request did not run. Thread-safe.
bool toldNotRun(const RequestResult &result);

} // namespace cranberry::load
