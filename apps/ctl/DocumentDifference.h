#pragma once

#include <QJsonObject>
#include <QList>
#include <QString>

namespace cranberry::ctl {

/// One value that differs between two configuration documents. It is undefined on the side that
/// lacks it.
struct DocumentDifference {
    /// Member names from the root, separated by dots.
    QString path;
    QJsonValue before;
    QJsonValue after;

    /// Formats the difference as "+ path: value", "- path: value" or "~ path: before -> after".
    /// Thread-safe.
    QString text() const;
};

/// Returns the differences in the order of their paths. An object that was added or removed counts
/// as one difference. Thread-safe.
QList<DocumentDifference> differencesBetween(const QJsonObject &before, const QJsonObject &after);

} // namespace cranberry::ctl
