// Defines logEvent, which writes one numbered event as one structured log line.
#pragma once

#include "base/EventId.h"

#include <QString>

#include <initializer_list>

namespace cranberry {

/// One key=value pair of a log line. Values with spaces or quotes are quoted.
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

/// Sets the least level that is written; the default is Info. Thread-safe.
void setLogLevel(LogLevel level);

/// Writes "event=NUMBER name=NAME key=value ...": to the LogSink, if there is one, else to stderr
/// through glog. Thread-safe. Precondition: there is a sink or glog was initialised.
void logEvent(LogLevel level, EventId event, std::initializer_list<EventField> fields);

} // namespace cranberry
