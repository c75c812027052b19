// Defines PlatformFaults, the faults that the stand-in of the platform shows on request.
#pragma once

#include "base/Units.h"

#include <QString>

class QJsonObject;

namespace cranberry::standin {

struct PlatformFaults {
    /// Connections are accepted and closed without an answer.
    bool down = false;
    /// Each call takes effect and is answered this much later.
    Milliseconds delay{0};
    /// So many writes take effect and are not answered.
    int loseAnswers = 0;
    /// Only writes to keys under it lose their answers; empty is all writes.
    QString loseAnswersUnder;
    /// A new list of VMs shows this much later.
    Milliseconds vmListLag{0};
};

/// @p faults with the members of @p change put in.
PlatformFaults changedFaults(PlatformFaults faults, const QJsonObject &change);

QJsonObject toJson(const PlatformFaults &faults);

} // namespace cranberry::standin
