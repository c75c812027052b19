// Defines ConfigurationChange, one accepted step from a version of the document to the next.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <QByteArray>
#include <QJsonObject>

#include <optional>

namespace cranberry {

/// Thread safety: a value type.
struct ConfigurationChange {
    /// The version that it leads to.
    ConfigurationVersion version;
    /// Tells this change from another that was submitted for the same version.
    ChangeId id;
    /// RFC 7396 patch against the version before.
    QJsonObject patch;
};

/// The value that stands in the platform's service for @p change. Thread-safe.
QByteArray encodeChange(const ConfigurationChange &change);

/// The change for @p version that @p value states; nothing if it states none. Thread-safe.
std::optional<ConfigurationChange> decodeChange(ConfigurationVersion version,
                                                const QByteArray &value);

} // namespace cranberry
