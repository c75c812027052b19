#include "configuration/DocumentRules.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QRegularExpression>
#include <QSet>

#include <cmath>

namespace cranberry::internal {

namespace {

constexpr qsizetype LongestShownValue = 80;

QString shown(const QJsonValue &value)
{
    if (value.isUndefined())
        return QStringLiteral("nothing");
    const QByteArray inList =
        QJsonDocument(QJsonArray{value}).toJson(QJsonDocument::Compact).trimmed();
    QString text = QString::fromUtf8(inList.mid(1, inList.size() - 2));
    if (text.size() <= LongestShownValue)
        return text;
    return text.left(LongestShownValue) + QLatin1String("...");
}

QString listed(const QStringList &names)
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
                           QLatin1String("unknown member, allowed are ") + listed(allowed)});
        }
    }
}

} // namespace

ConfigurationFault unexpected(const QString &path, const QString &expected, const QJsonValue &value)
{
    return {path, QStringLiteral("expected %1, got %2").arg(expected, shown(value))};
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
            faults.append(unexpected(path, expected, value));
    };
}

Rule patternRule(const QString &expected, const QString &pattern)
{
    const QRegularExpression whole(QRegularExpression::anchoredPattern(pattern));
    return valueRule(expected, [whole](const QJsonValue &value) {
        return value.isString() && whole.match(value.toString()).hasMatch();
    });
}

Rule wholeNumberRule(qint64 least, qint64 most)
{
    const QString expected = QStringLiteral("a whole number %1..%2").arg(least).arg(most);
    return valueRule(expected, [least, most](const QJsonValue &value) {
        const double number = value.toDouble();
        return value.isDouble() && number == std::floor(number) && number >= double(least)
            && number <= double(most);
    });
}

Rule numberRule(double least, double most, bool leastAllowed)
{
    const QString expected =
        QStringLiteral("a number %1 %2 and at most %3")
            .arg(leastAllowed ? QLatin1String("at least") : QLatin1String("over"))
            .arg(least)
            .arg(most);
    return valueRule(expected, [least, most, leastAllowed](const QJsonValue &value) {
        const double number = value.toDouble();
        const bool overLeast = leastAllowed ? number >= least : number > least;
        return value.isDouble() && overLeast && number <= most;
    });
}

Rule booleanRule()
{
    return valueRule(QStringLiteral("true or false"),
                     [](const QJsonValue &value) { return value.isBool(); });
}

Rule oneOfRule(const QStringList &allowed)
{
    return valueRule(QLatin1String("one of ") + listed(allowed),
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
            faults.append(unexpected(path, QStringLiteral("an object"), value));
    };
}

Rule namedObjectsRule(const QString &expectedId, const QString &idPattern, const Rule &rule)
{
    const QRegularExpression whole(QRegularExpression::anchoredPattern(idPattern));
    return [expectedId, whole, rule](const QString &path, const QJsonValue &value, Faults &faults) {
        if (!value.isObject()) {
            faults.append(unexpected(path, QStringLiteral("an object"), value));
            return;
        }
        const QJsonObject object = value.toObject();
        for (auto it = object.begin(); it != object.end(); ++it) {
            const QString inside = memberPath(path, it.key());
            if (!whole.match(it.key()).hasMatch())
                faults.append(unexpected(inside, expectedId, it.key()));
            rule(inside, it.value(), faults);
        }
    };
}

Rule distinctListRule(const Rule &rule)
{
    return [rule](const QString &path, const QJsonValue &value, Faults &faults) {
        if (!value.isArray()) {
            faults.append(unexpected(path, QStringLiteral("a list"), value));
            return;
        }
        const QJsonArray list = value.toArray();
        QSet<QString> seen;
        for (qsizetype i = 0; i < list.size(); ++i) {
            rule(elementPath(path, i), list.at(i), faults);
            const QString text = list.at(i).toString();
            if (list.at(i).isString() && seen.contains(text))
                faults.append(
                    unexpected(elementPath(path, i), QStringLiteral("no value twice"), list.at(i)));
            seen.insert(text);
        }
    };
}

} // namespace cranberry::internal
