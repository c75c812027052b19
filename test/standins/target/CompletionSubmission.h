// Defines CompletionSubmission, a completion request as the stand-in engine takes it.
#pragma once

#include "standins/target/AnswerText.h"
#include "standins/target/EngineModel.h"

namespace cranberry {

struct HttpRequest;

namespace test {

struct AnswerLengths;

struct CompletionSubmission {
    Generation generation;
    Answer answer;
    bool stream = false;
};

/// Reads a request of either shape and draws the length of its answer.
CompletionSubmission readCompletion(const HttpRequest &request, const AnswerLengths &lengths);

/// The attempt that @p request names, or a new one.
QByteArray attemptOf(const HttpRequest &request);

} // namespace test
} // namespace cranberry
