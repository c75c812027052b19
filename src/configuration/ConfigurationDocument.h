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

/// The same as configurationFromDocument(), at the cost of the entries that @p patch touches:
/// the others are taken from @p before. What entries say of each other is not checked, as
/// whoever accepted @p document has done that.
/// Precondition: @p before is what the document stated before @p patch, and @p document is
/// the result of the patch. Thread-safe.
Result<Configuration> configurationAfterPatch(const Configuration &before,
                                              const QJsonObject &document, const QJsonObject &patch,
                                              ConfigurationVersion version);

/// RFC 7396: @p patch applied to @p document. Thread-safe.
QJsonObject mergePatch(const QJsonObject &document, const QJsonObject &patch);

/// The RFC 7396 patch that turns @p from into @p to. Precondition: @p to holds no null, which
/// a merge patch cannot state; a valid document holds none. Thread-safe.
QJsonObject mergePatchBetween(const QJsonObject &from, const QJsonObject &to);

} // namespace cranberry
