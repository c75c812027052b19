// Defines how the configuration document is read from JSON and checked.
#pragma once

#include "base/Result.h"
#include "configuration/Configuration.h"

#include <QJsonObject>
#include <QList>
#include <QString>

namespace cranberry {

/// One fault of a document.
struct ConfigurationFault {
    /// JSON path, such as "targets.t1.url".
    QString path;
    /// What is wrong, the value found, and what is allowed.
    QString message;
};

/// Every fault of @p document, references between its parts included; empty if it is valid.
/// Thread-safe.
QList<ConfigurationFault> validateDocument(const QJsonObject &document);

/// The configuration that @p document states. Error InvalidConfiguration names the first
/// fault. Thread-safe.
Result<Configuration> configurationFromDocument(const QJsonObject &document,
                                                ConfigurationVersion version);

/// RFC 7396: @p patch applied to @p document. Thread-safe.
QJsonObject mergePatch(const QJsonObject &document, const QJsonObject &patch);

/// The RFC 7396 patch that turns @p from into @p to. Thread-safe.
QJsonObject mergePatchBetween(const QJsonObject &from, const QJsonObject &to);

} // namespace cranberry
