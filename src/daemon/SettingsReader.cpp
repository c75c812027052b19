#include "daemon/SettingsReader.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <cmath>

namespace cranberry {

namespace {

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

void SettingsReader::fault(const QString &name, const QString &allowed)
{
    m_faults.add(QStringLiteral("%1: expected %2, got %3")
                     .arg(pathOf(name), allowed, compactJson(m_object.value(name))));
}

SettingsReader SettingsReader::object(const QString &name)
{
    m_faults.addKnownMember(pathOf(name));
    const QJsonValue value = m_object.value(name);
    if (!value.isUndefined() && !value.isObject())
        fault(name, QStringLiteral("an object"));
    return {value.toObject(), pathOf(name), m_faults};
}

QString SettingsReader::string(const QString &name, const QString &fallback)
{
    m_faults.addKnownMember(pathOf(name));
    const QJsonValue value = m_object.value(name);
    if (value.isUndefined())
        return fallback;
    if (!value.isString())
        fault(name, QStringLiteral("a string"));
    return value.toString(fallback);
}

QString SettingsReader::requiredString(const QString &name)
{
    m_faults.addKnownMember(pathOf(name));
    QString value = m_object.value(name).toString();
    if (value.isEmpty())
        fault(name, QStringLiteral("a non-empty string"));
    return value;
}

bool SettingsReader::flag(const QString &name, bool fallback)
{
    m_faults.addKnownMember(pathOf(name));
    const QJsonValue value = m_object.value(name);
    if (value.isUndefined())
        return fallback;
    if (!value.isBool())
        fault(name, QStringLiteral("true or false"));
    return value.toBool(fallback);
}

qint64 SettingsReader::number(const QString &name, qint64 min, qint64 max, qint64 fallback)
{
    m_faults.addKnownMember(pathOf(name));
    const QJsonValue value = m_object.value(name);
    if (value.isUndefined())
        return fallback;
    const double number = value.toDouble(std::nan(""));
    const bool allowed = value.isDouble() && number >= double(min) && number <= double(max)
        && std::floor(number) == number;
    if (!allowed) {
        fault(name, QStringLiteral("%1..%2").arg(min).arg(max));
        return fallback;
    }
    return qint64(number);
}

double SettingsReader::decimal(const QString &name, double min, double max, double fallback)
{
    m_faults.addKnownMember(pathOf(name));
    const QJsonValue value = m_object.value(name);
    if (value.isUndefined())
        return fallback;
    const double number = value.toDouble(std::nan(""));
    if (value.isDouble() && number >= min && number <= max)
        return number;
    fault(name, QStringLiteral("a number from %1 to %2").arg(min).arg(max));
    return fallback;
}

} // namespace cranberry
