// Defines SubmitResult, what became of a submitted configuration document.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "configuration/ConfigurationFault.h"

#include <QList>

namespace cranberry {

enum class SubmitOutcome {
    /// It is the version given in the result, and in force in this daemon.
    Accepted,
    /// Another change took the version, or the expected version was not the present one.
    VersionConflict,
    /// The document has faults; nothing was written.
    Invalid,
    /// Nothing was written, and nothing will be.
    PlatformUnavailable,
    /// The platform did not tell in time whether the change was accepted.
    Unsettled,
};

struct SubmitResult {
    SubmitOutcome outcome = SubmitOutcome::PlatformUnavailable;
    /// The accepted version, or else the highest known to this daemon.
    ConfigurationVersion version;
    /// Of an invalid document, all of them.
    QList<ConfigurationFault> faults;
    /// By which an unsettled change is known in the logs.
    ChangeId change;
};

} // namespace cranberry
