// Defines the values and outcomes of the platform's key-value service.
#pragma once

#include "base/StrongNumber.h"

#include <QByteArray>
#include <QList>
#include <QString>

namespace cranberry {

/// Revision of a key; it grows with each write to the service. 0 means "absent".
using Revision = StrongNumber<struct RevisionTag>;
using LeaseId = StrongNumber<struct LeaseTag>;

struct KeyValue {
    QString key;
    QByteArray value;
    /// 0 if the key is absent.
    Revision revision;
};

/// What became of a conditional write.
enum class SwapOutcome {
    /// It took effect.
    Swapped,
    /// The key had another revision; nothing was written.
    Conflict,
    /// The request left and no answer came: it may have taken effect now or may later.
    Unknown,
    /// It certainly did not take effect: no byte left, or the service refused.
    NotDone,
};

struct SwapResult {
    SwapOutcome outcome = SwapOutcome::NotDone;
    /// After Swapped the new revision, after Conflict the present one, else 0.
    Revision revision;
};

/// One VM as the platform's list shows it, with the list's lag.
struct ListedVm {
    QString vm;
    QString dataCentre;
    QString address;
    quint16 peerPort = 0;
    bool leaving = false;
};

} // namespace cranberry
