#pragma once

#include <QByteArray>
#include <QList>

namespace cranberry {

struct ServerSentEvent {
    QByteArray id;
    QByteArray name;
    QByteArray data;
    /// The bytes as received, including the blank line and any preceding blocks without data.
    QByteArray raw;
};

/// Incremental parser that splits a byte stream into server-sent events. Implements the part of
/// the event stream format of the HTML standard that targets use: the fields id, event and data,
/// with LF or CRLF line ends.
/// Thread safety: none; each stream has its own parser.
class ServerSentEventParser
{
public:
    /// Appends @p bytes and returns the events that they complete. If an incomplete event exceeds
    /// 1 MiB, isMalformed() becomes true and no further events are returned.
    QList<ServerSentEvent> feed(const QByteArray &bytes);

    bool isMalformed() const { return m_malformed; }

    /// The received bytes that belong to no complete event.
    QByteArray trailingBytes() const { return m_skipped + m_pending; }

    /// True if the bytes after the last complete event are the beginning of another one, or of a
    /// line. Blank lines and complete comment lines are neither. Always true if isMalformed().
    bool isInsideEvent() const;

private:
    QByteArray m_pending;
    /// No blank line begins before this position of m_pending.
    qsizetype m_searchFrom = 0;
    /// Complete blocks without data, which become part of the next event's raw bytes.
    QByteArray m_skipped;
    bool m_malformed = false;
};

} // namespace cranberry
