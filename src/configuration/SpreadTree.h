// Defines the tree along which a change is passed on inside a data centre.
#pragma once

#include "base/Ids.h"

#include <QList>

namespace cranberry {

/// Whom @p self passes a change on to that @p root, which heads the tree, has sent out: at most
/// @p fanOut of @p members. If all have the same members, everyone but the root is passed the
/// change exactly once. Empty if root or self is none of the members.
/// Precondition: @p fanOut is positive. Thread-safe.
QList<VmId> spreadChildren(const QList<VmId> &members, const VmId &root, const VmId &self,
                           int fanOut);

} // namespace cranberry
