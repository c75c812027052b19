#pragma once

namespace cranberry {

enum class ResponseMatch;
struct AnswerHead;

/// What an answer proves about its request.
enum class AnswerProof {
    /// The target did not run it and will not.
    NotExecuted,
    /// The address belongs to another target, which did not run it.
    Misdirected,
    /// It may have run.
    None,
};

/// Judges the answer with @p head. @p isFirstResponse: nothing was received on the connection
/// before it. A request counts as not run after an answer only by this function, so that it is sent
/// to another target, or its caller is told that it has not run.
/// Thread-safe.
AnswerProof proofOf(const AnswerHead &head, ResponseMatch match, bool isFirstResponse);

} // namespace cranberry
