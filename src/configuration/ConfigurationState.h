#pragma once

#include "configuration/Configuration.h"
#include "configuration/ConfigurationChange.h"

#include <QJsonObject>
#include <QList>

#include <memory>

namespace cranberry {

/// One version of the document and the configuration that it puts in force.
/// Thread safety: a value type; shared data is immutable.
struct ConfigurationState {
    ConfigurationVersion version;
    QJsonObject document;
    /// The configuration in force; of an older version if this build cannot read the document.
    /// Null until a document has been read.
    std::shared_ptr<const Configuration> configuration;
    /// Error that keeps the document from being in force; empty if it is in force.
    QString fault;
};

/// @p state with its document replaced by @p document of @p version. Thread-safe.
ConfigurationState stateWithDocument(const ConfigurationState &state, ConfigurationVersion version,
                                     const QJsonObject &document);

/// @p state with @p changes applied. Precondition: @p changes continue its version without a gap.
/// Thread-safe.
ConfigurationState stateAfter(const ConfigurationState &state,
                              const QList<ConfigurationChange> &changes);

} // namespace cranberry
