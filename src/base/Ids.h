// Defines the identifiers of the domain.
#pragma once

#include "base/StrongId.h"

namespace cranberry {

using VmId = StrongId<struct VmTag>;
using DataCentreId = StrongId<struct DataCentreTag>;
using WorkspaceId = StrongId<struct WorkspaceTag>;
using ServiceId = StrongId<struct ServiceTag>;
using ModelId = StrongId<struct ModelTag>;
using TargetId = StrongId<struct TargetTag>;
/// One send of one request to one target; never used twice.
using AttemptId = StrongId<struct AttemptTag>;
/// One request of one caller, over all its attempts.
using RequestId = StrongId<struct RequestTag>;
/// One change of the configuration, chosen by whoever submits it.
using ChangeId = StrongId<struct ChangeTag>;

} // namespace cranberry
