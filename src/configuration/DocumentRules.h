// Defines the rules from which the shape of a configuration document is put together.
#pragma once

#include "configuration/ConfigurationFault.h"

#include <QJsonValue>
#include <QList>
#include <QStringList>

#include <functional>

namespace cranberry::internal {

using Faults = QList<ConfigurationFault>;

/// Appends what is wrong with the value at a path. Thread-safe.
using Rule = std::function<void(const QString &path, const QJsonValue &value, Faults &faults)>;

enum class Presence {
    Required,
    Optional,
};

/// One member that an object may have.
struct MemberRule {
    QString name;
    Presence presence;
    Rule rule;
};

/// "expected @p expected, got ..." with the start of @p value as JSON. Thread-safe.
ConfigurationFault unexpected(const QString &path, const QString &expected,
                              const QJsonValue &value);

/// The path of member @p name of the object at @p path. Thread-safe.
QString memberPath(const QString &path, const QString &name);

/// The path of element @p index of the list at @p path. Thread-safe.
QString elementPath(const QString &path, qsizetype index);

// Each function below makes a rule; all are thread-safe.

/// Any value that @p accepts holds for; @p expected says in words what that is.
Rule valueRule(const QString &expected, std::function<bool(const QJsonValue &)> accepts);
/// A string that matches @p pattern as a whole.
Rule patternRule(const QString &expected, const QString &pattern);
Rule wholeNumberRule(qint64 least, qint64 most);
/// A number from @p least to @p most; @p least itself is allowed only if @p leastAllowed.
Rule numberRule(double least, double most, bool leastAllowed);
Rule booleanRule();
Rule oneOfRule(const QStringList &allowed);
/// An object with just the members of @p members.
Rule objectRule(const QList<MemberRule> &members);
/// An object whose members are named by ids of the shape @p idPattern, each after @p rule.
Rule namedObjectsRule(const QString &expectedId, const QString &idPattern, const Rule &rule);
/// A list without repetitions whose elements follow @p rule.
Rule distinctListRule(const Rule &rule);

} // namespace cranberry::internal
