// Defines what the stand-in engine answers, so that callers in tests can check it.
#pragma once

#include <QByteArray>
#include <QList>
#include <QString>

class QJsonObject;

namespace cranberry::test {

/// The distribution of answer lengths: lognormal, so with a heavy tail.
struct AnswerLengths {
    quint64 seed = 1;
    double median = 100;
    double sigma = 1.0;
};

/// What is wrong with an answer, as its caller can see it.
enum class AnswerFault {
    None,
    /// Nothing arrived, or the first token is not of the expected shape.
    Malformed,
    /// The answer is to another prompt.
    Crossed,
    /// A token is not the next of the generation that the first token names.
    OutOfOrder,
};

/// The prompt of the body of a completion or chat completion. Thread-safe.
QString promptOf(const QJsonObject &body);

/// 16 hex digits that stand for a prompt. Thread-safe.
QByteArray promptHash(const QString &prompt);

/// Tokens of a prompt: a quarter of its UTF-8 bytes, at least 1. Thread-safe.
int promptTokens(const QString &prompt);

/// Text of token @p index of generation @p attempt; it ends with the only space in it. Token 0
/// names the prompt and the attempt. Precondition: @p attempt holds no space. Thread-safe.
QByteArray tokenText(const QByteArray &attempt, const QByteArray &promptHash, int index);

/// Length of the answer to the prompt with @p promptHash, from 1 to @p maxTokens. The same on
/// every engine with the same lengths. Thread-safe.
int answerLength(const AnswerLengths &lengths, const QByteArray &promptHash, int maxTokens);

/// Splits the text of a whole answer into its tokens. Thread-safe.
QList<QByteArray> splitTokens(const QByteArray &text);

/// Checks that @p tokens are the first tokens of one generation for @p prompt. Thread-safe.
AnswerFault checkAnswer(const QString &prompt, const QList<QByteArray> &tokens);

} // namespace cranberry::test
