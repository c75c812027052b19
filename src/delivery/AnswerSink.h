// Defines AnswerSink, the receiver of one generation's answer.
#pragma once

namespace cranberry {

struct Error;
struct TokenEvent;

/// Receives an answer from its first event to its end.
/// Thread safety: called in the thread of the run.
class AnswerSink
{
public:
    AnswerSink() = default;
    virtual ~AnswerSink() = default;
    AnswerSink(const AnswerSink &) = delete;
    AnswerSink &operator=(const AnswerSink &) = delete;

    /// The next event of the answer, each once and in order.
    virtual void deliver(const TokenEvent &event) = 0;
    /// The answer is whole. Called at most once, last.
    virtual void finished() = 0;
    /// The answer cannot be completed. Called at most once, last.
    virtual void failed(const Error &error) = 0;
};

} // namespace cranberry
