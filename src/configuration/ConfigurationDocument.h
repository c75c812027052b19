#pragma once

#include "base/Result.h"
#include "configuration/Configuration.h"
#include "configuration/ConfigurationFault.h"

#include <QJsonObject>
#include <QList>

namespace cranberry {

/// All faults of @p document, including invalid references between its sections; empty if it is
/// valid. Thread-safe.
QList<ConfigurationFault> validateDocument(const QJsonObject &document);

/// Validates @p document and reads it from JSON. Error InvalidConfiguration names the first fault.
/// Thread-safe.
Result<Configuration> configurationFromDocument(const QJsonObject &document,
                                                ConfigurationVersion version);

/// Like configurationFromDocument(), but reads only the entries that @p patch changes and copies
/// the others from @p before. References between entries are not checked, since they were checked
/// before @p document was accepted.
/// Precondition: @p document is the result of applying @p patch to the document that @p before was
/// read from. Thread-safe.
Result<Configuration> configurationAfterPatch(const Configuration &before,
                                              const QJsonObject &document, const QJsonObject &patch,
                                              ConfigurationVersion version);

/// Applies the RFC 7396 merge patch @p patch to @p document. Thread-safe.
QJsonObject mergePatch(const QJsonObject &document, const QJsonObject &patch);

/// The RFC 7396 merge patch that turns @p from into @p to. Precondition: @p to contains no null,
/// which a merge patch cannot express; a valid document contains none. Thread-safe.
QJsonObject mergePatchBetween(const QJsonObject &from, const QJsonObject &to);

} // namespace cranberry
