#pragma once

#include "base/EventId.h"

#include <QString>

#include <initializer_list>

namespace cranberry {

/// One key=value pair of a log line. Empty values and values with spaces, quotes, equals signs or
/// non-printable characters are quoted.
struct EventField {
    const char *key;
    QString value;
};

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// Sets the minimum level that is written; the default is Info. Thread-safe.
void setLogLevel(LogLevel level);

/// Writes @p event as one structured line, "event=NUMBER name=NAME key=value ...", to the LogSink
/// if there is one, else to stderr through glog. Thread-safe.
/// Precondition: a LogSink exists or glog is initialised.
void logEvent(LogLevel level, EventId event, std::initializer_list<EventField> fields);

} // namespace cranberry
