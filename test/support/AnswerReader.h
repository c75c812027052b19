// Defines AnswerReader, which reads a streamed answer as a caller does.
#pragma once

#include "base/Units.h"

#include <QByteArray>
#include <QJsonObject>
#include <QList>
#include <QString>

namespace cranberry::test {

struct ReceivedToken {
    /// The number in the event's id field; -1 if it had none.
    int id = -1;
    QByteArray text;
    MonotonicTime at;
};

/// Collects the tokens and the end of one stream of server-sent events.
/// Thread safety: only from one thread.
class AnswerReader
{
public:
    /// Reads further bytes of the stream, which arrived at @p now.
    void feed(const QByteArray &data, MonotonicTime now);

    const QList<ReceivedToken> &tokens() const { return m_tokens; }
    QList<QByteArray> texts() const;
    /// Empty until the event that carries it came.
    const QString &finishReason() const { return m_finishReason; }
    /// True once "[DONE]" came.
    bool isDone() const { return m_done; }
    /// The object of the final error event; empty if none came.
    const QJsonObject &error() const { return m_error; }
    /// Events that were not JSON of the expected shape.
    int malformedEvents() const { return m_malformed; }
    /// True if the ids of the tokens are 0, 1, 2 and so on.
    bool idsAreConsecutive() const;

private:
    void readEvent(const QByteArray &event, MonotonicTime now);
    void readData(int id, const QByteArray &data, MonotonicTime now);

    QByteArray m_pending;
    QList<ReceivedToken> m_tokens;
    QString m_finishReason;
    bool m_done = false;
    QJsonObject m_error;
    int m_malformed = 0;
};

} // namespace cranberry::test
