#pragma once

#include "base/StrongId.h"

namespace cranberry {

using VmId = StrongId<struct VmTag>;
using DataCentreId = StrongId<struct DataCentreTag>;
using WorkspaceId = StrongId<struct WorkspaceTag>;
using ServiceId = StrongId<struct ServiceTag>;
using ModelId = StrongId<struct ModelTag>;
using TargetId = StrongId<struct TargetTag>;
/// Identifies one attempt to send a request to a target; never reused.
using AttemptId = StrongId<struct AttemptTag>;
/// Identifies a request of a caller across all its attempts.
using RequestId = StrongId<struct RequestTag>;
/// Identifies a change of the configuration; assigned by its submitter.
using ChangeId = StrongId<struct ChangeTag>;

} // namespace cranberry
