#include "daemon/SettingsReader.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QVariant>

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

constexpr Milliseconds MaxDuration{3'600'000};
constexpr double MillisecondsPerSecond = 1000;
/// Fractions of a millisecond below this come from the conversion to binary and from the
/// multiplication.
constexpr double NegligibleMilliseconds = 1e-6;

QString compactJson(const QJsonValue &value)
{
    if (value.isUndefined())
        return QStringLiteral("nothing");
    const QByteArray array = QJsonDocument(QJsonArray{value}).toJson(QJsonDocument::Compact);
    return QString::fromUtf8(array.mid(1, array.size() - 2).left(80));
}

} // namespace

SettingsReader::SettingsReader(const QJsonObject &object, QString path, SettingsFaults &faults)
    : m_object(object)
    , m_path(std::move(path))
    , m_faults(faults)
{
    for (auto member = object.begin(); member != object.end(); ++member)
        m_faults.addPresentMember(pathOf(member.key()));
}

QString SettingsReader::pathOf(const QString &name) const
{
    return m_path.isEmpty() ? name : m_path + u'.' + name;
}

QString SettingsReader::faultText(const QString &name, const QString &allowed) const
{
    return QStringLiteral("%1: expected %2, got %3")
        .arg(pathOf(name), allowed, compactJson(m_object.value(name)));
}

void SettingsReader::fault(const QString &name, const QString &allowed, const QString &used)
{
    m_faults.add({faultText(name, allowed), used});
}

void SettingsReader::fatalFault(const QString &name, const QString &allowed)
{
    m_faults.add({faultText(name, allowed), {}, true});
}

SettingsReader SettingsReader::object(const QString &name)
{
    m_faults.addKnownMember(pathOf(name));
    const QJsonValue value = m_object.value(name);
    if (!value.isUndefined() && !value.isObject())
        fault(name, QStringLiteral("an object"), QStringLiteral("{}"));
    return {value.toObject(), pathOf(name), m_faults};
}

QString SettingsReader::string(const QString &name, const QString &fallback)
{
    m_faults.addKnownMember(pathOf(name));
    const QJsonValue value = m_object.value(name);
    if (value.isUndefined())
        return fallback;
    if (!value.isString())
        fault(name, QStringLiteral("a string"), fallback);
    return value.toString(fallback);
}

QString SettingsReader::requiredString(const QString &name)
{
    m_faults.addKnownMember(pathOf(name));
    QString value = m_object.value(name).toString();
    if (value.isEmpty())
        fatalFault(name, QStringLiteral("a non-empty string"));
    return value;
}

bool SettingsReader::flag(const QString &name, bool fallback)
{
    m_faults.addKnownMember(pathOf(name));
    const QJsonValue value = m_object.value(name);
    if (value.isUndefined())
        return fallback;
    if (!value.isBool())
        fault(name, QStringLiteral("true or false"), QVariant(fallback).toString());
    return value.toBool(fallback);
}

qint64 SettingsReader::number(const QString &name, qint64 min, qint64 max, qint64 fallback)
{
    m_faults.addKnownMember(pathOf(name));
    const QJsonValue value = m_object.value(name);
    if (value.isUndefined())
        return fallback;
    const double number = value.toDouble(std::nan(""));
    const qint64 used = value.isDouble()
        ? qint64(std::clamp(std::floor(number), double(min), double(max)))
        : fallback;
    if (double(used) != number)
        fault(name, QStringLiteral("%1..%2").arg(min).arg(max), QString::number(used));
    return used;
}

double SettingsReader::decimal(const QString &name, double min, double max, double fallback)
{
    m_faults.addKnownMember(pathOf(name));
    const QJsonValue value = m_object.value(name);
    if (value.isUndefined())
        return fallback;
    const double number = value.toDouble(std::nan(""));
    const double used = value.isDouble() ? std::clamp(number, min, max) : fallback;
    if (used != number)
        fault(name, QStringLiteral("a number from %1 to %2").arg(min).arg(max),
              QString::number(used));
    return used;
}

Milliseconds SettingsReader::duration(const QString &name, DurationRounding rounding,
                                      Milliseconds fallback)
{
    const QString nameInSeconds = name.chopped(2) + u's';
    m_faults.addKnownMember(pathOf(name));
    m_faults.addKnownMember(pathOf(nameInSeconds));
    const bool isInSeconds = m_object.contains(nameInSeconds);
    if (isInSeconds && m_object.contains(name))
        fault(nameInSeconds, QStringLiteral("nothing beside %1").arg(pathOf(name)),
              QStringLiteral("%1 alone").arg(nameInSeconds));
    const QString &present = isInSeconds ? nameInSeconds : name;
    const double unit = isInSeconds ? MillisecondsPerSecond : 1;
    const QJsonValue value = m_object.value(present);
    if (value.isUndefined())
        return fallback;
    const double max = double(MaxDuration.count());
    const double milliseconds = unit * value.toDouble(std::nan(""));
    const bool isPositive = milliseconds > 0;
    Milliseconds used = fallback;
    if (isPositive) {
        const double bounded = std::min(milliseconds, max);
        const double rounded = rounding == DurationRounding::Down
            ? std::floor(bounded + NegligibleMilliseconds)
            : std::ceil(bounded - NegligibleMilliseconds);
        used = std::max(Milliseconds(1), Milliseconds(qint64(rounded)));
    }
    if (!isPositive || milliseconds > max)
        fault(present, QStringLiteral("more than 0, up to %1").arg(qint64(max / unit)),
              QStringLiteral("%1 ms").arg(used.count()));
    return used;
}

} // namespace cranberry
