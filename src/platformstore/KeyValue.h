#pragma once

#include "base/StrongNumber.h"

#include <QByteArray>
#include <QList>
#include <QString>

namespace cranberry {

/// Revision of a key; it increases with each write to the service. 0 means that the key is absent.
using Revision = StrongNumber<struct RevisionTag>;
using LeaseId = StrongNumber<struct LeaseTag>;

/// A key and its value in the platform's key-value service.
struct KeyValue {
    QString key;
    QByteArray value;
    /// 0 if the key is absent.
    Revision revision;
};

/// Outcome of a conditional write.
enum class SwapOutcome {
    /// The write took effect.
    Swapped,
    /// The key had another revision; nothing was written.
    Conflict,
    /// The request was sent but not answered: it may have taken effect or may still do so.
    Unknown,
    /// The write did not take effect and will not: no byte was sent, or the service refused it.
    NotWritten,
};

struct SwapResult {
    SwapOutcome outcome = SwapOutcome::NotWritten;
    /// The new revision for Swapped, the current one for Conflict, otherwise 0.
    Revision revision;
};

/// A VM in the platform's list of VMs, which lags behind the actual state.
struct ListedVm {
    QString vm;
    QString dataCentre;
    QString address;
    quint16 peerPort = 0;
    bool leaving = false;
};

} // namespace cranberry
