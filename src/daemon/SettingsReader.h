#pragma once

#include "daemon/SettingsFaults.h"

#include <QJsonObject>

namespace cranberry {

/// Reads the members of one JSON object in a settings file. An invalid value adds a fault that
/// names the member's path, and the fallback (for an object or a required string an empty value)
/// is returned, so that parsing continues.
/// Thread safety: none.
class SettingsReader
{
public:
    /// Precondition: @p faults outlives the reader. @p path is empty for the top-level object.
    SettingsReader(const QJsonObject &object, QString path, SettingsFaults &faults);

    /// Returns a reader of the object member @p name; of an empty object if it is absent.
    SettingsReader object(const QString &name);
    QString string(const QString &name, const QString &fallback);
    /// A mandatory, non-empty string.
    QString requiredString(const QString &name);
    /// An integer in [@p min, @p max].
    qint64 number(const QString &name, qint64 min, qint64 max, qint64 fallback);
    /// A number in [@p min, @p max].
    double decimal(const QString &name, double min, double max, double fallback);

    /// A boolean.
    bool flag(const QString &name, bool fallback);

    /// Adds a fault for member @p name: the values @p allowed and the value found.
    void fault(const QString &name, const QString &allowed);

private:
    QString pathOf(const QString &name) const;

    QJsonObject m_object;
    QString m_path;
    SettingsFaults &m_faults;
};

} // namespace cranberry
