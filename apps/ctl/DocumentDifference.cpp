#include "ctl/DocumentDifference.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <set>

namespace cranberry::ctl {

namespace {

QString toCompactJson(const QJsonValue &value)
{
    const QByteArray array = QJsonDocument(QJsonArray{value}).toJson(QJsonDocument::Compact);
    return QString::fromUtf8(array.mid(1, array.size() - 2));
}

void appendDifferences(const QString &path, const QJsonObject &before, const QJsonObject &after,
                       QList<DocumentDifference> &differences)
{
    const QStringList beforeNames = before.keys();
    const QStringList afterNames = after.keys();
    std::set<QString> names(beforeNames.begin(), beforeNames.end());
    names.insert(afterNames.begin(), afterNames.end());
    for (const QString &name : names) {
        const QString memberPath = path.isEmpty() ? name : path + '.' + name;
        const QJsonValue oldValue = before.value(name);
        const QJsonValue newValue = after.value(name);
        if (oldValue == newValue)
            continue;
        if (oldValue.isObject() && newValue.isObject())
            appendDifferences(memberPath, oldValue.toObject(), newValue.toObject(), differences);
        else
            differences.append({memberPath, oldValue, newValue});
    }
}

} // namespace

QString DocumentDifference::text() const
{
    if (before.isUndefined())
        return QStringLiteral("+ %1: %2").arg(path, toCompactJson(after));
    if (after.isUndefined())
        return QStringLiteral("- %1: %2").arg(path, toCompactJson(before));
    return QStringLiteral("~ %1: %2 -> %3").arg(path, toCompactJson(before), toCompactJson(after));
}

QList<DocumentDifference> differencesBetween(const QJsonObject &before, const QJsonObject &after)
{
    QList<DocumentDifference> differences;
    appendDifferences({}, before, after, differences);
    return differences;
}

} // namespace cranberry::ctl
