#include "ctl/LogLine.h"

#include <QRegularExpression>

namespace cranberry::ctl {

std::optional<LogLine> parseLogLine(const QString &text, const QString &file)
{
    static const QRegularExpression field(QStringLiteral(R"re((\w+)=("(?:[^"\\]|\\.)*"|\S*))re"));
    LogLine line;
    line.text = text;
    line.file = file;
    QRegularExpressionMatchIterator matches = field.globalMatch(text);
    while (matches.hasNext()) {
        const QRegularExpressionMatch match = matches.next();
        QString value = match.captured(2);
        if (value.startsWith(u'"'))
            value = value.mid(1, value.size() - 2);
        line.fields.insert(match.captured(1), value);
    }
    line.time = line.fields.value(QStringLiteral("time"));
    line.name = line.fields.value(QStringLiteral("name"));
    if (line.time.isEmpty() || line.name.isEmpty())
        return std::nullopt;
    return line;
}

} // namespace cranberry::ctl
