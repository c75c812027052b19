// Defines ConfigurationState, one version of the document and what it puts in force.
#pragma once

#include "configuration/Configuration.h"
#include "configuration/ConfigurationChange.h"

#include <QJsonObject>
#include <QList>

#include <memory>

namespace cranberry {

/// Thread safety: a value type; what it shares is immutable.
struct ConfigurationState {
    ConfigurationVersion version;
    QJsonObject document;
    /// In force; of an older version if this build cannot read the document. Null at first.
    std::shared_ptr<const Configuration> configuration;
    /// Why the document is not in force; empty if it is.
    QString fault;
};

/// @p state with @p document of @p version in its place. Thread-safe.
ConfigurationState stateWithDocument(const ConfigurationState &state, ConfigurationVersion version,
                                     const QJsonObject &document);

/// @p state after @p changes. Precondition: they follow on its version without a gap.
/// Thread-safe.
ConfigurationState stateAfter(const ConfigurationState &state,
                              const QList<ConfigurationChange> &changes);

} // namespace cranberry
