#pragma once

namespace cranberry {

/// How an attempt ended, as evidence for or against a crash of its target.
enum class RelayAttemptEnd {
    /// The target did not run the request.
    NotRun,
    /// The target answered the request, but not with success.
    Answered,
    /// The target ran the request to its end.
    Completed,
    /// This daemon ordered the target to stop.
    Stopped,
    /// The connection broke; the target may have crashed.
    Broken,
    /// The attempt ended without an answer: by its deadline, its caller or silence.
    Unexplained,
};

/// The name used in log lines. Thread-safe.
const char *relayAttemptEndName(RelayAttemptEnd end);

} // namespace cranberry
