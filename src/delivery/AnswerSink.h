#pragma once

namespace cranberry {

struct Error;
struct TokenEvent;

/// Receives the answer of one generation from its first event to its end.
/// Thread safety: called in the thread of the run.
class AnswerSink
{
public:
    AnswerSink() = default;
    virtual ~AnswerSink() = default;
    AnswerSink(const AnswerSink &) = delete;
    AnswerSink &operator=(const AnswerSink &) = delete;

    /// Receives the next event of the answer. Each event is delivered once and in order.
    virtual void deliver(const TokenEvent &event) = 0;
    /// The answer is complete. Called at most once, as the last call.
    virtual void finished() = 0;
    /// The answer cannot be completed. Called at most once, as the last call.
    virtual void failed(const Error &error) = 0;
};

} // namespace cranberry
