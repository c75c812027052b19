#include "configuration/DocumentRules.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QRegularExpression>
#include <QSet>

#include <cmath>

namespace cranberry::internal {

namespace {

constexpr qsizetype MaxShownValueLength = 80;

QString formatValue(const QJsonValue &value)
{
    if (value.isUndefined())
        return QStringLiteral("nothing");
    const QByteArray arrayJson =
        QJsonDocument(QJsonArray{value}).toJson(QJsonDocument::Compact).trimmed();
    QString text = QString::fromUtf8(arrayJson.mid(1, arrayJson.size() - 2));
    if (text.size() <= MaxShownValueLength)
        return text;
    return text.left(MaxShownValueLength) + QLatin1String("...");
}

QString quoteNames(const QStringList &names)
{
    QStringList quoted;
    for (const QString &name : names)
        quoted.append('"' + name + '"');
    return quoted.join(QLatin1String(", "));
}

void checkMembers(const QList<MemberRule> &members, const QString &path, const QJsonObject &object,
                  Faults &faults)
{
    QStringList allowed;
    for (const MemberRule &member : members) {
        allowed.append(member.name);
        const QJsonValue value = object.value(member.name);
        if (!value.isUndefined() || member.presence == Presence::Required)
            member.rule(memberPath(path, member.name), value, faults);
    }
    for (auto it = object.begin(); it != object.end(); ++it) {
        if (!allowed.contains(it.key())) {
            faults.append({memberPath(path, it.key()),
                           QLatin1String("unknown member, allowed are ") + quoteNames(allowed)});
        }
    }
}

} // namespace

ConfigurationFault unexpectedValue(const QString &path, const QString &expected,
                                   const QJsonValue &value)
{
    return {path, QStringLiteral("expected %1, got %2").arg(expected, formatValue(value))};
}

QString memberPath(const QString &path, const QString &name)
{
    return path.isEmpty() ? name : path + '.' + name;
}

QString elementPath(const QString &path, qsizetype index)
{
    return path + '[' + QString::number(index) + ']';
}

Rule valueRule(const QString &expected, std::function<bool(const QJsonValue &)> accepts)
{
    return [expected, accepts = std::move(accepts)](const QString &path, const QJsonValue &value,
                                                    Faults &faults) {
        if (!accepts(value))
            faults.append(unexpectedValue(path, expected, value));
    };
}

Rule patternRule(const QString &expected, const QString &pattern)
{
    const QRegularExpression regex(QRegularExpression::anchoredPattern(pattern));
    return valueRule(expected, [regex](const QJsonValue &value) {
        return value.isString() && regex.match(value.toString()).hasMatch();
    });
}

Rule integerRule(qint64 minimum, qint64 maximum)
{
    const QString expected = QStringLiteral("a whole number %1..%2").arg(minimum).arg(maximum);
    return valueRule(expected, [minimum, maximum](const QJsonValue &value) {
        const double number = value.toDouble();
        return value.isDouble() && number == std::floor(number) && number >= double(minimum)
            && number <= double(maximum);
    });
}

Rule numberRule(double minimum, double maximum, bool isMinimumAllowed)
{
    const QString expected =
        QStringLiteral("a number %1 %2 and at most %3")
            .arg(isMinimumAllowed ? QLatin1String("at least") : QLatin1String("over"))
            .arg(minimum)
            .arg(maximum);
    return valueRule(expected, [minimum, maximum, isMinimumAllowed](const QJsonValue &value) {
        const double number = value.toDouble();
        const bool isAboveMinimum = isMinimumAllowed ? number >= minimum : number > minimum;
        return value.isDouble() && isAboveMinimum && number <= maximum;
    });
}

Rule booleanRule()
{
    return valueRule(QStringLiteral("true or false"),
                     [](const QJsonValue &value) { return value.isBool(); });
}

Rule oneOfRule(const QStringList &allowed)
{
    return valueRule(QLatin1String("one of ") + quoteNames(allowed),
                     [allowed](const QJsonValue &value) {
                         return value.isString() && allowed.contains(value.toString());
                     });
}

Rule objectRule(const QList<MemberRule> &members)
{
    return [members](const QString &path, const QJsonValue &value, Faults &faults) {
        if (value.isObject())
            checkMembers(members, path, value.toObject(), faults);
        else
            faults.append(unexpectedValue(path, QStringLiteral("an object"), value));
    };
}

Rule namedObjectsRule(const QString &expectedId, const QString &idPattern, const Rule &rule)
{
    const QRegularExpression regex(QRegularExpression::anchoredPattern(idPattern));
    return [expectedId, regex, rule](const QString &path, const QJsonValue &value, Faults &faults) {
        if (!value.isObject()) {
            faults.append(unexpectedValue(path, QStringLiteral("an object"), value));
            return;
        }
        const QJsonObject object = value.toObject();
        for (auto it = object.begin(); it != object.end(); ++it) {
            const QString entryPath = memberPath(path, it.key());
            if (!regex.match(it.key()).hasMatch())
                faults.append(unexpectedValue(entryPath, expectedId, it.key()));
            rule(entryPath, it.value(), faults);
        }
    };
}

Rule distinctListRule(const Rule &rule)
{
    return [rule](const QString &path, const QJsonValue &value, Faults &faults) {
        if (!value.isArray()) {
            faults.append(unexpectedValue(path, QStringLiteral("a list"), value));
            return;
        }
        const QJsonArray list = value.toArray();
        QSet<QString> seenValues;
        for (qsizetype i = 0; i < list.size(); ++i) {
            rule(elementPath(path, i), list.at(i), faults);
            const QString text = list.at(i).toString();
            if (list.at(i).isString() && seenValues.contains(text))
                faults.append(unexpectedValue(elementPath(path, i),
                                              QStringLiteral("distinct values"), list.at(i)));
            seenValues.insert(text);
        }
    };
}

} // namespace cranberry::internal
