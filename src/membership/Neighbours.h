#pragma once

#include "base/Ids.h"

#include <QList>

namespace cranberry {

/// The members that one daemon exchanges heartbeats with.
/// The relation is symmetric between two daemons that know the same members.
struct Neighbours {
    /// The predecessor and the successor on the ring, with the shortest heartbeat interval.
    QList<VmId> ring;
    /// Further neighbours, through which gossip crosses the fleet in few hops: all other members
    /// in a small fleet, otherwise those at the distances 4, 16, 64 ... in both directions.
    QList<VmId> fingers;

    bool contains(const VmId &vm) const { return ring.contains(vm) || fingers.contains(vm); }
    QList<VmId> all() const { return ring + fingers; }
};

/// The neighbours of @p self among @p others, which do not include @p self; all of them if there
/// are at most @p fullMeshLimit. The ring is ordered by hash, so that VMs of one rack or data
/// centre are not adjacent. Thread-safe.
Neighbours chooseNeighbours(const VmId &self, const QList<VmId> &others, int fullMeshLimit);

} // namespace cranberry
