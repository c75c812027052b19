#include "ctl/DocumentDifference.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <set>

namespace cranberry::ctl {

namespace {

QString shown(const QJsonValue &value)
{
    const QByteArray inList = QJsonDocument(QJsonArray{value}).toJson(QJsonDocument::Compact);
    return QString::fromUtf8(inList.mid(1, inList.size() - 2));
}

void append(const QString &path, const QJsonObject &before, const QJsonObject &after,
            QList<DocumentDifference> &found)
{
    const QStringList beforeNames = before.keys();
    const QStringList afterNames = after.keys();
    std::set<QString> names(beforeNames.begin(), beforeNames.end());
    names.insert(afterNames.begin(), afterNames.end());
    for (const QString &name : names) {
        const QString inside = path.isEmpty() ? name : path + '.' + name;
        const QJsonValue a = before.value(name);
        const QJsonValue b = after.value(name);
        if (a == b)
            continue;
        if (a.isObject() && b.isObject())
            append(inside, a.toObject(), b.toObject(), found);
        else
            found.append({inside, a, b});
    }
}

} // namespace

QString DocumentDifference::text() const
{
    if (before.isUndefined())
        return QStringLiteral("+ %1: %2").arg(path, shown(after));
    if (after.isUndefined())
        return QStringLiteral("- %1: %2").arg(path, shown(before));
    return QStringLiteral("~ %1: %2 -> %3").arg(path, shown(before), shown(after));
}

QList<DocumentDifference> differencesBetween(const QJsonObject &before, const QJsonObject &after)
{
    QList<DocumentDifference> found;
    append({}, before, after, found);
    return found;
}

} // namespace cranberry::ctl
