#pragma once

#include <QHash>
#include <QString>

#include <optional>

namespace cranberry::ctl {

/// One structured log line of a daemon.
struct LogLine {
    /// ISO 8601 in UTC, as written by the daemon; the string order is the time order.
    QString time;
    /// Path of the file that holds the line.
    QString file;
    /// Name of the event.
    QString name;
    QHash<QString, QString> fields;
    /// The whole line.
    QString text;
};

/// Parses a line of the form "time=... event=... name=... key=value ..."; returns empty if it has
/// no time or no name.
/// Thread-safe.
std::optional<LogLine> parseLogLine(const QString &text, const QString &file);

} // namespace cranberry::ctl
