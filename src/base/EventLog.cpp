#include "base/EventLog.h"

#include "base/LogSink.h"

#include <QDateTime>

#include <glog/logging.h>

#include <atomic>

namespace cranberry {

namespace {

std::atomic<LogLevel> minLevel{LogLevel::Info};

bool needsQuotes(const QString &value)
{
    if (value.isEmpty())
        return true;
    for (const QChar c : value) {
        if (c.isSpace() || c == u'"' || c == u'=' || !c.isPrint())
            return true;
    }
    return false;
}

/// Escapes quotes and backslashes and replaces non-printable characters, so that a value from an
/// external system cannot break the log line.
QString quoted(const QString &value)
{
    QString result = QStringLiteral("\"");
    for (const QChar c : value) {
        if (c == u'"' || c == u'\\')
            result += u'\\';
        result += c.isPrint() ? c : QChar(u'?');
    }
    return result + u'"';
}

QByteArray timeStamp()
{
    return "time=" + QDateTime::currentDateTimeUtc().toString(Qt::ISODateWithMs).toLatin1();
}

} // namespace

// One case per event: the length of the function does not reflect its complexity.
// NOLINTNEXTLINE(readability-function-size)
const char *eventName(EventId event)
{
    switch (event) {
#define CRANBERRY_EVENT_NAME(name, number, text)                                                   \
    case EventId::name:                                                                            \
        return text;
        CRANBERRY_EVENTS(CRANBERRY_EVENT_NAME)
#undef CRANBERRY_EVENT_NAME
    }
    return "unknown";
}

void setLogLevel(LogLevel level)
{
    minLevel = level;
}

void logEvent(LogLevel level, EventId event, std::initializer_list<EventField> fields)
{
    if (level < minLevel)
        return;
    QString line = QStringLiteral("event=%1 name=%2")
                       .arg(static_cast<int>(event))
                       .arg(QLatin1String(eventName(event)));
    for (const EventField &field : fields) {
        line += u' ' + QLatin1String(field.key) + u'=';
        line += needsQuotes(field.value) ? quoted(field.value) : field.value;
    }
    if (LogSink *sink = LogSink::current()) {
        sink->append(timeStamp() + ' ' + line.toUtf8(), level >= LogLevel::Warning);
        return;
    }
    const std::string text = line.toStdString();
    if (level >= LogLevel::Error)
        LOG(ERROR) << text;
    else if (level == LogLevel::Warning)
        LOG(WARNING) << text;
    else
        LOG(INFO) << text;
}

} // namespace cranberry
