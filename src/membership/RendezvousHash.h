#pragma once

#include "base/Ids.h"

#include <QList>

namespace cranberry {

/// Assigns @p key to the member with the highest rank for @p key. Removing another member never
/// moves the key. Empty if @p members is empty. The same on every daemon. Thread-safe.
VmId rendezvousOwner(const QString &key, const QList<VmId> &members);

/// The @p count members of highest rank for @p key, highest first. Thread-safe.
QList<VmId> rendezvousOrder(const QString &key, const QList<VmId> &members, int count);

} // namespace cranberry
