#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <QByteArray>
#include <QJsonObject>

#include <optional>

namespace cranberry {

/// The step from one version of the configuration document to the next.
/// Thread safety: a value type.
struct ConfigurationChange {
    /// Version that results from the change.
    ConfigurationVersion version;
    /// Distinguishes this change from others submitted for the same version.
    ChangeId id;
    /// RFC 7396 merge patch against the previous version.
    QJsonObject patch;
};

/// The value that represents @p change in the platform's key-value service. Thread-safe.
QByteArray encodeChange(const ConfigurationChange &change);

/// Decodes the change that leads to @p version from @p value; nullopt if @p value is malformed.
/// Thread-safe.
std::optional<ConfigurationChange> decodeChange(ConfigurationVersion version,
                                                const QByteArray &value);

} // namespace cranberry
