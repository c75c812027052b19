// Defines how the configuration document is read from JSON and checked.
#pragma once

#include "base/Result.h"
#include "configuration/Configuration.h"
#include "configuration/ConfigurationFault.h"

#include <QJsonObject>
#include <QList>

namespace cranberry {

/// Every fault of @p document, references between its parts included; empty if it is valid.
/// Thread-safe.
QList<ConfigurationFault> validateDocument(const QJsonObject &document);

/// The configuration that @p document states. Error InvalidConfiguration names the first
/// fault. Thread-safe.
Result<Configuration> configurationFromDocument(const QJsonObject &document,
                                                ConfigurationVersion version);

/// RFC 7396: @p patch applied to @p document. Thread-safe.
QJsonObject mergePatch(const QJsonObject &document, const QJsonObject &patch);

/// The RFC 7396 patch that turns @p from into @p to. Precondition: @p to holds no null, which
/// a merge patch cannot state; a valid document holds none. Thread-safe.
QJsonObject mergePatchBetween(const QJsonObject &from, const QJsonObject &to);

} // namespace cranberry
