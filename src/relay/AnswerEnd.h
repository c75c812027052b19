#pragma once

#include <cstddef>

namespace cranberry {

enum class BodyFraming;
enum class HttpExchangeEnd;

/// What the end of a target's answer says about its completeness.
enum class AnswerEnd {
    Whole,
    /// The exchange did not end with a complete response.
    Broken,
    /// A stream ended after the beginning of an event, however its body is framed.
    InsideEvent,
    /// The connection was closed after the target was ordered to stop the generation, which closes
    /// it too.
    Stopped,
};

constexpr std::size_t AnswerEndCount = 4;

/// The end of an answer whose exchange ended with @p exchange. @p isInsideEvent: it is a stream
/// that ended after the beginning of an event. Thread-safe.
AnswerEnd judgeAnswerEnd(HttpExchangeEnd exchange, bool isInsideEvent);

/// The end of an answer that was judged as @p end, if its target was ordered to stop the generation
/// and may have done so. Thread-safe.
AnswerEnd judgeAfterStopOrder(AnswerEnd end, BodyFraming framing);

/// The name used in log lines and metrics. Thread-safe.
const char *answerEndName(AnswerEnd end);

} // namespace cranberry
