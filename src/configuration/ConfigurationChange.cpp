#include "configuration/ConfigurationChange.h"

#include <QJsonDocument>

namespace cranberry {

QByteArray encodeChange(const ConfigurationChange &change)
{
    const QJsonObject json{{"change_id", change.id.text()}, {"patch", change.patch}};
    return QJsonDocument(json).toJson(QJsonDocument::Compact);
}

std::optional<ConfigurationChange> decodeChange(ConfigurationVersion version,
                                                const QByteArray &value)
{
    const QJsonObject json = QJsonDocument::fromJson(value).object();
    const QString id = json.value(QLatin1String("change_id")).toString();
    const QJsonValue patch = json.value(QLatin1String("patch"));
    if (id.isEmpty() || !patch.isObject())
        return std::nullopt;
    return ConfigurationChange{version, ChangeId(id), patch.toObject()};
}

} // namespace cranberry
