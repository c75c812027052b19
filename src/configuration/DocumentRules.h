#pragma once

#include "configuration/ConfigurationFault.h"

#include <QJsonValue>
#include <QList>
#include <QStringList>

#include <functional>

namespace cranberry::internal {

using Faults = QList<ConfigurationFault>;

/// Checks the value at a path and appends its faults. Rules are combined to describe the schema of
/// the configuration document. Thread-safe.
using Rule = std::function<void(const QString &path, const QJsonValue &value, Faults &faults)>;

enum class Presence {
    Required,
    Optional,
};

/// A member that an object may or must have, and the rule for its value.
struct MemberRule {
    QString name;
    Presence presence;
    Rule rule;
};

/// The fault "expected @p expected, got ..." with the beginning of @p value as JSON. Thread-safe.
ConfigurationFault unexpectedValue(const QString &path, const QString &expected,
                                   const QJsonValue &value);

/// The path of member @p name of the object at @p path. Thread-safe.
QString memberPath(const QString &path, const QString &name);

/// The path of element @p index of the list at @p path. Thread-safe.
QString elementPath(const QString &path, qsizetype index);

// The functions below create rules. All are thread-safe.

/// A value for which @p accepts returns true; @p expected describes such values in messages.
Rule valueRule(const QString &expected, std::function<bool(const QJsonValue &)> accepts);
/// A string that matches @p pattern from start to end.
Rule patternRule(const QString &expected, const QString &pattern);
/// An integer from @p minimum to @p maximum.
Rule integerRule(qint64 minimum, qint64 maximum);
/// A number from @p minimum to @p maximum; @p minimum itself is allowed only if
/// @p isMinimumAllowed.
Rule numberRule(double minimum, double maximum, bool isMinimumAllowed);
Rule booleanRule();
Rule oneOfRule(const QStringList &allowed);
/// An object with no members other than @p members.
Rule objectRule(const QList<MemberRule> &members);
/// An object whose member names match @p idPattern and whose member values follow @p rule;
/// @p expectedId describes the names in messages.
Rule namedObjectsRule(const QString &expectedId, const QString &idPattern, const Rule &rule);
/// A list whose elements follow @p rule and which contains no string twice.
Rule distinctListRule(const Rule &rule);

} // namespace cranberry::internal
