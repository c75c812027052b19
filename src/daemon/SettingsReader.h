// Defines SettingsReader, which reads one object of a settings file and names faults by path.
#pragma once

#include "daemon/SettingsFaults.h"

#include <QJsonObject>

namespace cranberry {

/// Every read of a wrong value adds a fault and returns the fallback, so that reading goes on.
/// Thread safety: none.
class SettingsReader
{
public:
    /// Precondition: @p faults outlives the reader. @p path is empty for the whole file.
    SettingsReader(const QJsonObject &object, QString path, SettingsFaults &faults);

    /// The object member @p name; an empty one if it is absent.
    SettingsReader object(const QString &name);
    QString string(const QString &name, const QString &fallback);
    /// A non-empty string that has to be there.
    QString requiredString(const QString &name);
    /// A whole number in [@p least, @p most].
    qint64 number(const QString &name, qint64 least, qint64 most, qint64 fallback);
    /// A number in [@p least, @p most].
    double decimal(const QString &name, double least, double most, double fallback);

    /// true or false.
    bool flag(const QString &name, bool fallback);

    /// Adds the fault that member @p name is not @p allowed.
    void fault(const QString &name, const QString &allowed);

private:
    QString pathOf(const QString &name) const;

    QJsonObject m_object;
    QString m_path;
    SettingsFaults &m_faults;
};

} // namespace cranberry
