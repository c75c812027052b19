#pragma once

#include "base/Units.h"
#include "daemon/SettingsFaults.h"

#include <QJsonObject>

namespace cranberry {

/// How a fraction of a millisecond is rounded.
enum class DurationRounding {
    Down,
    Up,
};

/// Reads the members of one JSON object in a settings file. An invalid value adds a fault that
/// names the member's path and the value that is used instead: for a number that is out of range
/// the nearest one that is allowed, else the fallback, also for a duration that is not positive.
/// Parsing continues.
/// Thread safety: none.
class SettingsReader
{
public:
    /// Precondition: @p faults outlives the reader. @p path is empty for the top-level object.
    SettingsReader(const QJsonObject &object, QString path, SettingsFaults &faults);

    /// Returns a reader of the object member @p name; of an empty object if it is absent.
    SettingsReader object(const QString &name);
    QString string(const QString &name, const QString &fallback);
    /// A mandatory, non-empty string. A fault is fatal, and an empty string is returned.
    QString requiredString(const QString &name);
    /// An integer in [@p min, @p max].
    qint64 number(const QString &name, qint64 min, qint64 max, qint64 fallback);
    /// A number in [@p min, @p max].
    double decimal(const QString &name, double min, double max, double fallback);
    /// A positive duration of up to an hour, rounded to milliseconds but never to 0. It is given
    /// either in milliseconds by the member @p name or in seconds by the one that ends in "_s"
    /// instead; fractions are allowed. Precondition: @p name ends in "_ms".
    Milliseconds duration(const QString &name, DurationRounding rounding, Milliseconds fallback);

    /// A boolean.
    bool flag(const QString &name, bool fallback);

    /// Adds a fault for member @p name: the values @p allowed, the value found and what is @p used
    /// instead.
    void fault(const QString &name, const QString &allowed, const QString &used = {});
    /// As above, for a member that nothing can replace.
    void fatalFault(const QString &name, const QString &allowed);

private:
    QString pathOf(const QString &name) const;
    QString faultText(const QString &name, const QString &allowed) const;

    QJsonObject m_object;
    QString m_path;
    SettingsFaults &m_faults;
};

} // namespace cranberry
