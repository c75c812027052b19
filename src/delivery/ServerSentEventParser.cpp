#include "delivery/ServerSentEventParser.h"

#include <algorithm>
#include <utility>

namespace cranberry {

namespace {

constexpr qsizetype MaxEventBytes = 1024 * 1024;

void applyLine(ServerSentEvent &event, QByteArray line)
{
    if (line.endsWith('\r'))
        line.chop(1);
    const qsizetype colon = line.indexOf(':');
    if (colon <= 0)
        return;
    const QByteArray field = line.left(colon);
    QByteArray value = line.mid(colon + 1);
    if (value.startsWith(' '))
        value.remove(0, 1);
    if (field == "id")
        event.id = value;
    else if (field == "event")
        event.name = value;
    else if (field == "data")
        event.data += event.data.isEmpty() ? value : '\n' + value;
}

ServerSentEvent parseBlock(const QByteArray &block)
{
    ServerSentEvent event;
    for (const QByteArray &line : block.split('\n'))
        applyLine(event, line);
    return event;
}

/// Position and length of the first blank line; the length is 0 if there is none.
QPair<qsizetype, qsizetype> firstBlankLine(const QByteArray &bytes)
{
    const qsizetype lf = bytes.indexOf("\n\n");
    const qsizetype crlf = bytes.indexOf("\n\r\n");
    if (lf < 0 && crlf < 0)
        return {0, 0};
    if (crlf < 0 || (lf >= 0 && lf < crlf))
        return {lf, 2};
    return {crlf, 3};
}

bool isBlankOrComment(QByteArray line)
{
    if (line.endsWith('\r'))
        line.chop(1);
    return line.isEmpty() || line.startsWith(':');
}

} // namespace

bool ServerSentEventParser::isInsideEvent() const
{
    // Events may have been dropped.
    if (m_malformed)
        return true;
    QList<QByteArray> lines = m_pending.split('\n');
    // The last one is not terminated: a comment may be cut too. A lone CR is a blank line.
    const QByteArray unterminated = lines.takeLast();
    const bool hasCutLine = !unterminated.isEmpty() && unterminated != "\r";
    return hasCutLine || !std::all_of(lines.cbegin(), lines.cend(), isBlankOrComment);
}

QList<ServerSentEvent> ServerSentEventParser::feed(const QByteArray &bytes)
{
    QList<ServerSentEvent> events;
    if (m_malformed)
        return events;
    m_pending += bytes;
    for (;;) {
        const auto [position, length] = firstBlankLine(m_pending);
        if (length == 0)
            break;
        ServerSentEvent event = parseBlock(m_pending.left(position));
        m_skipped += m_pending.left(position + length);
        m_pending.remove(0, position + length);
        if (event.data.isEmpty())
            continue;
        event.raw = std::exchange(m_skipped, {});
        events.append(event);
    }
    m_malformed = m_pending.size() + m_skipped.size() > MaxEventBytes;
    return events;
}

} // namespace cranberry
