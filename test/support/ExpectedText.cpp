#include "support/ExpectedText.h"

#include <QCryptographicHash>
#include <QJsonArray>
#include <QJsonObject>
#include <QtEndian>

#include <algorithm>
#include <cmath>
#include <random>

namespace cranberry::test {

namespace {

constexpr int BytesPerToken = 4;
constexpr int WordLetters = 5;
constexpr int AlphabetLetters = 26;

quint64 hashNumber(const QByteArray &data)
{
    const QByteArray digest = QCryptographicHash::hash(data, QCryptographicHash::Sha256);
    return qFromBigEndian<quint64>(digest.constData());
}

} // namespace

QString promptOf(const QJsonObject &body)
{
    if (body.contains(QLatin1String("prompt")))
        return body.value(QLatin1String("prompt")).toString();
    QString prompt;
    const QJsonArray messages = body.value(QLatin1String("messages")).toArray();
    for (const QJsonValue message : messages) {
        prompt += message[QLatin1String("role")].toString() + QLatin1String(": ")
            + message[QLatin1String("content")].toString() + QLatin1Char('\n');
    }
    return prompt;
}

QByteArray promptHash(const QString &prompt)
{
    return QByteArray::number(hashNumber(prompt.toUtf8()), 16).rightJustified(16, '0');
}

int promptTokens(const QString &prompt)
{
    return std::max<int>(1, prompt.toUtf8().size() / BytesPerToken);
}

QByteArray tokenText(const QByteArray &attempt, const QByteArray &promptHash, int index)
{
    if (index == 0)
        return promptHash + '.' + attempt + ' ';
    // std::mt19937_64's seeding would cost more than the token; a multiply-mix is enough.
    quint64 number = qHash(attempt, 0) ^ (quint64(index) * 0x9e3779b97f4a7c15ULL);
    number = (number ^ (number >> 31)) * 0xbf58476d1ce4e5b9ULL;
    number ^= number >> 29;
    QByteArray word;
    for (int i = 0; i < WordLetters; ++i) {
        word += char('a' + number % AlphabetLetters);
        number /= AlphabetLetters;
    }
    return word + ' ';
}

int answerLength(const AnswerLengths &lengths, const QByteArray &promptHash, int maxTokens)
{
    std::mt19937_64 generator(hashNumber(promptHash + QByteArray::number(lengths.seed)));
    std::lognormal_distribution<double> distribution(std::log(lengths.median), lengths.sigma);
    const double length = std::min(distribution(generator), double(maxTokens));
    return std::max(1, int(length));
}

QList<QByteArray> splitTokens(const QByteArray &text)
{
    QList<QByteArray> tokens;
    qsizetype start = 0;
    while (start < text.size()) {
        const qsizetype space = text.indexOf(' ', start);
        const qsizetype end = space < 0 ? text.size() : space + 1;
        tokens.append(text.mid(start, end - start));
        start = end;
    }
    return tokens;
}

AnswerFault checkAnswer(const QString &prompt, const QList<QByteArray> &tokens)
{
    if (tokens.isEmpty())
        return AnswerFault::Malformed;
    const QByteArray &first = tokens.first();
    const qsizetype dot = first.indexOf('.');
    if (dot < 0 || !first.endsWith(' '))
        return AnswerFault::Malformed;
    const QByteArray hash = first.left(dot);
    if (hash != promptHash(prompt))
        return AnswerFault::Crossed;
    const QByteArray attempt = first.mid(dot + 1).chopped(1);
    for (int i = 1; i < tokens.size(); ++i) {
        if (tokens.at(i) != tokenText(attempt, hash, i))
            return AnswerFault::OutOfOrder;
    }
    return AnswerFault::None;
}

} // namespace cranberry::test
