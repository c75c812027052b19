// Defines Neighbours, the members that one daemon exchanges heartbeats with.
#pragma once

#include "base/Ids.h"

#include <QList>

namespace cranberry {

/// Whoever is a neighbour of a daemon has it as a neighbour too, as far as both know the same
/// members.
struct Neighbours {
    /// The two beside this daemon on the ring; they watch it closely.
    QList<VmId> ring;
    /// Others, by which news crosses the fleet in few steps: all others in a small fleet, else
    /// those at the distances 4, 16, 64 ... both ways round.
    QList<VmId> fingers;

    bool contains(const VmId &vm) const { return ring.contains(vm) || fingers.contains(vm); }
    QList<VmId> all() const { return ring + fingers; }
};

/// The neighbours of @p self among @p others, who do not include it. The ring is ordered by
/// hash, so that the VMs of one rack or data centre do not stand side by side. Thread-safe.
Neighbours chooseNeighbours(const VmId &self, const QList<VmId> &others, int fullMesh);

} // namespace cranberry
