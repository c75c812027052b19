#include "ctl/StatusText.h"

#include <QJsonArray>
#include <QJsonObject>

#include <algorithm>

namespace cranberry::ctl {

namespace {

QString formatCell(const QJsonValue &value)
{
    if (value.isBool())
        return value.toBool() ? QStringLiteral("yes") : QStringLiteral("no");
    if (value.isDouble())
        return QString::number(value.toDouble(), 'g', 12);
    return value.isString() ? value.toString() : QStringLiteral("-");
}

/// Formats the members @p names of each object in @p rows as a table with a header row.
QString formatTable(const QJsonArray &rows, const QStringList &names)
{
    QList<QStringList> lines{names};
    for (const auto &row : rows) {
        QStringList line;
        for (const QString &name : names)
            line.append(formatCell(row.toObject().value(name)));
        lines.append(line);
    }
    QList<qsizetype> widths(names.size(), 0);
    for (const QStringList &line : std::as_const(lines)) {
        for (qsizetype i = 0; i < line.size(); ++i)
            widths[i] = std::max(widths[i], line.at(i).size());
    }
    QString text;
    for (const QStringList &line : std::as_const(lines)) {
        QString padded;
        for (qsizetype i = 0; i < line.size(); ++i)
            padded += line.at(i).leftJustified(widths.at(i) + 2);
        text += padded.trimmed() + '\n';
    }
    return text;
}

} // namespace

QString statusText(const QJsonObject &status)
{
    const QString fault = status["configuration_fault"].toString();
    QString text =
        QStringLiteral("%1: version %2, %3, platform %4\n")
            .arg(status["vm"].toString(), formatCell(status["configuration_version"]),
                 status["ready"].toBool() ? QStringLiteral("ready") : QStringLiteral("not ready"),
                 status["platform_reachable"].toBool() ? QStringLiteral("reachable")
                                                       : QStringLiteral("not reachable"));
    if (!fault.isEmpty())
        text += QStringLiteral("the newest version is not in force here: %1\n").arg(fault);
    text += '\n'
        + formatTable(status["members"].toArray(),
                      {"vm", "data_centre", "state", "configuration_version"});
    const QJsonArray quarantine = status["quarantine"].toArray();
    if (!quarantine.isEmpty())
        text += '\n' + formatTable(quarantine, {"workspace", "fingerprint", "until"});
    return text.trimmed();
}

QString targetsText(const QJsonObject &status)
{
    return formatTable(status["targets"].toArray(),
                       {"target", "service", "resident_tokens", "capacity_tokens", "running",
                        "waiting", "leaving", "dead"})
        .trimmed();
}

} // namespace cranberry::ctl
