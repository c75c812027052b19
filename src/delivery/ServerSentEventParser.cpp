#include "delivery/ServerSentEventParser.h"

#include <algorithm>
#include <utility>

namespace cranberry {

namespace {

constexpr qsizetype MaxEventBytes = 1024 * 1024;
/// "\n\r\n"
constexpr qsizetype LongestBlankLine = 3;

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

/// Position and length of the first blank line at or after @p from; the length is 0 if there is
/// none.
QPair<qsizetype, qsizetype> firstBlankLine(const QByteArray &bytes, qsizetype from)
{
    for (qsizetype end = bytes.indexOf('\n', from); end >= 0; end = bytes.indexOf('\n', end + 1)) {
        const char *next = bytes.constData() + end + 1; // terminated by a zero byte
        if (next[0] == '\n')
            return {end, 2};
        if (next[0] == '\r' && next[1] == '\n')
            return {end, 3};
    }
    return {0, 0};
}

qsizetype leadingLineFeeds(const QByteArray &bytes)
{
    return std::find_if(bytes.cbegin(), bytes.cend(), [](char c) { return c != '\n'; })
        - bytes.cbegin();
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
        const auto [position, length] = firstBlankLine(m_pending, m_searchFrom);
        if (length == 0) {
            // A blank line may begin in the last bytes.
            m_searchFrom = std::max<qsizetype>(m_pending.size() - LongestBlankLine + 1, 0);
            break;
        }
        m_searchFrom = 0;
        if (position == 0) {
            // Many blank lines are taken at once, as a malformed stream may consist of them.
            const qsizetype blank = std::max(length, leadingLineFeeds(m_pending) / 2 * 2);
            m_skipped += m_pending.left(blank);
            m_pending.remove(0, blank);
            continue;
        }
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
