#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "configuration/ConfigurationFault.h"

#include <QList>

namespace cranberry {

enum class SubmitOutcome {
    /// The document has the version given in the result and is in force in this daemon.
    Accepted,
    /// Another change was accepted for the version, or the expected version is not the current one.
    VersionConflict,
    /// The document is not valid; nothing was written.
    Invalid,
    /// The platform did not accept the write. The change was not written and will not be.
    PlatformUnavailable,
    /// The platform did not confirm in time whether the change was accepted.
    Unsettled,
};

/// Result of the submission of a configuration document.
struct SubmitResult {
    SubmitOutcome outcome = SubmitOutcome::PlatformUnavailable;
    /// The accepted version, or otherwise the highest version known to this daemon.
    ConfigurationVersion version;
    /// All faults of an invalid document.
    QList<ConfigurationFault> faults;
    /// Id of the change in the logs, to identify an unsettled change; empty if none was sent.
    ChangeId change;
};

} // namespace cranberry
