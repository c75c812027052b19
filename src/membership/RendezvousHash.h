// Defines rendezvous hashing: who of the live members looks after a key.
#pragma once

#include "base/Ids.h"

#include <QList>

namespace cranberry {

/// The member that @p key hashes to; removing another member never moves the key. Empty if
/// @p members is empty. The same on every daemon and machine. Thread-safe.
VmId rendezvousOwner(const QString &key, const QList<VmId> &members);

/// The first @p count members in the order of their rank for @p key. Thread-safe.
QList<VmId> rendezvousOrder(const QString &key, const QList<VmId> &members, int count);

} // namespace cranberry
