// Defines ServerSentEventParser, which cuts a byte stream into server-sent events.
#pragma once

#include <QByteArray>
#include <QList>

namespace cranberry {

struct ServerSentEvent {
    QByteArray id;
    QByteArray name;
    QByteArray data;
    /// The bytes as they came, with the blank line and any block without data before it.
    QByteArray raw;
};

/// Collects bytes until an event is whole. Source: the event stream format of the HTML
/// standard, as far as targets use it (id, event, data; LF or CRLF).
/// Thread safety: none; one object belongs to one stream.
class ServerSentEventParser
{
public:
    /// Events that are whole with @p bytes. An unfinished event over the bound makes
    /// isMalformed() true and yields nothing more.
    QList<ServerSentEvent> feed(const QByteArray &bytes);

    bool isMalformed() const { return m_malformed; }

    /// Bytes that belong to no whole event.
    QByteArray unparsedBytes() const { return m_skipped + m_pending; }

private:
    QByteArray m_pending;
    /// Whole blocks without data, which go out with the next event.
    QByteArray m_skipped;
    bool m_malformed = false;
};

} // namespace cranberry
