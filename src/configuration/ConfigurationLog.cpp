#include "configuration/ConfigurationLog.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>

namespace cranberry {

namespace {

constexpr int VersionDigits = 12;
constexpr int Decimal = 10;

} // namespace

const QString ChangePrefix = QStringLiteral("configuration/change/");
const QString BaseKey = QStringLiteral("configuration/change/base");
const QString SnapshotPrefix = QStringLiteral("configuration/snapshot/");

QString changeKey(ConfigurationVersion version)
{
    return ChangePrefix
        + QString::number(version.value()).rightJustified(VersionDigits, QLatin1Char('0'));
}

QString snapshotPartKey(const LogBase &base, int part)
{
    return QStringLiteral("%1%2/%3/%4")
        .arg(SnapshotPrefix)
        .arg(base.snapshotVersion.value())
        .arg(base.snapshotId)
        .arg(part);
}

ConfigurationVersion snapshotVersionOf(const QString &key)
{
    if (!key.startsWith(SnapshotPrefix))
        return {};
    const QString rest = key.mid(SnapshotPrefix.size());
    return ConfigurationVersion(rest.section(QLatin1Char('/'), 0, 0).toLongLong());
}

ConfigurationVersion changeVersionOf(const QString &key)
{
    if (!key.startsWith(ChangePrefix))
        return {};
    return ConfigurationVersion(key.mid(ChangePrefix.size()).toLongLong(nullptr, Decimal));
}

QByteArray encodeBase(const LogBase &base)
{
    const QJsonObject json{{"snapshot", base.snapshotVersion.value()},
                           {"snapshot_id", base.snapshotId},
                           {"parts", base.partCount},
                           {"trimmed", base.trimmedVersion.value()}};
    return QJsonDocument(json).toJson(QJsonDocument::Compact);
}

LogBase decodeBase(const KeyValue &entry)
{
    const QJsonObject json = QJsonDocument::fromJson(entry.value).object();
    LogBase base;
    base.snapshotVersion = ConfigurationVersion(json["snapshot"].toInteger());
    base.snapshotId = json["snapshot_id"].toString();
    base.partCount = json["parts"].toInt();
    base.trimmedVersion = ConfigurationVersion(json["trimmed"].toInteger());
    base.revision = entry.revision;
    return base;
}

LogPage readLogPage(const QList<KeyValue> &entries)
{
    LogPage page;
    for (const KeyValue &entry : entries) {
        page.highestRevision = std::max(page.highestRevision, entry.revision);
        if (entry.key == BaseKey)
            page.base = decodeBase(entry);
        const ConfigurationVersion version = changeVersionOf(entry.key);
        if (version == ConfigurationVersion())
            continue;
        if (std::optional<ConfigurationChange> change = decodeChange(version, entry.value))
            page.changes.append(std::move(*change));
    }
    return page;
}

} // namespace cranberry
