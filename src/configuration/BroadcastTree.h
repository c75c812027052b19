#pragma once

#include "base/Ids.h"

#include <QList>

namespace cranberry {

/// Children of @p self in the tree along which a change from @p root is broadcast inside a data
/// centre: at most @p fanOut of @p members. If all daemons have the same members, each member
/// except the root is the child of exactly one other. Empty if @p root or @p self is not a member.
/// Precondition: @p fanOut is positive. Thread-safe.
QList<VmId> broadcastChildren(const QList<VmId> &members, const VmId &root, const VmId &self,
                              int fanOut);

} // namespace cranberry
