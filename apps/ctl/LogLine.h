// Defines LogLine, one structured line that a daemon wrote.
#pragma once

#include <QHash>
#include <QString>

#include <optional>

namespace cranberry::ctl {

struct LogLine {
    /// ISO 8601 in UTC, as it was written; sorts by time.
    QString time;
    /// Where the line was read.
    QString file;
    QString name;
    QHash<QString, QString> fields;
    QString text;
};

/// Reads a line of the form "time=... event=... name=... key=value ..."; empty if it is none.
/// Thread-safe.
std::optional<LogLine> readLogLine(const QString &text, const QString &file);

} // namespace cranberry::ctl
