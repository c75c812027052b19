// Defines how silent members are suspected, probed and taken for dead.
#pragma once

#include "membership/MembershipOutput.h"
#include "membership/MembershipState.h"

namespace cranberry {

/// Starts to probe @p vm, directly and through others, unless that is under way. Precondition:
/// @p vm is in the table.
void suspect(MembershipState &state, const VmId &vm, MonotonicTime now, quint64 random,
             MembershipOutput &output);

/// Suspects neighbours that have missed their heartbeats.
void suspectSilent(MembershipState &state, MonotonicTime now, quint64 random,
                   MembershipOutput &output);

/// Ends the rounds of probes whose time has passed: with a death, or another round.
void endProbes(MembershipState &state, MonotonicTime now, quint64 random, MembershipOutput &output);

/// Tells those that asked for a probe in vain; also that of @p vm at once if it is not empty.
void endRelays(MembershipState &state, const VmId &vm, MonotonicTime now, MembershipOutput &output);

/// Direct word of @p vm came.
void clearSuspicion(MembershipState &state, const VmId &vm, MonotonicTime now,
                    MembershipOutput &output);

} // namespace cranberry
