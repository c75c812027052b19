// Defines the difference of two configuration documents, as an operator reads it.
#pragma once

#include <QJsonObject>
#include <QList>
#include <QString>

namespace cranberry::ctl {

/// One value that differs; undefined on the side that does not have it.
struct DocumentDifference {
    QString path;
    QJsonValue before;
    QJsonValue after;

    /// "+ path: value", "- path: value" or "~ path: before -> after".
    QString text() const;
};

/// The differences in the order of their paths; a part that is new or gone is one.
/// Thread-safe.
QList<DocumentDifference> differencesBetween(const QJsonObject &before, const QJsonObject &after);

} // namespace cranberry::ctl
