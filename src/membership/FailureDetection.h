#pragma once

#include "membership/MembershipOutput.h"
#include "membership/MembershipState.h"

namespace cranberry {

/// Starts probing @p vm, directly and through other members, unless it is being probed already.
/// Precondition: @p vm is in the table.
void suspect(MembershipState &state, const VmId &vm, MonotonicTime now, quint64 random,
             MembershipOutput &output);

/// Suspects each neighbour whose heartbeats have been missing for longer than its timeout.
void suspectSilentNeighbours(MembershipState &state, MonotonicTime now, quint64 random,
                             MembershipOutput &output);

/// Evaluates each probe round that has timed out or in which all helpers reported the member
/// unreachable: declares the member dead or starts another round.
void finishProbeRounds(MembershipState &state, MonotonicTime now, quint64 random,
                       MembershipOutput &output);

/// Reports failure to the requester of each relayed probe that has timed out. If @p vm is not
/// empty, relayed probes of @p vm fail at once.
void expireRelayedProbes(MembershipState &state, const VmId &vm, MonotonicTime now,
                         MembershipOutput &output);

/// Ends the suspicion of @p vm after a message from it, or a probe that reached it.
void clearSuspicion(MembershipState &state, const VmId &vm, MonotonicTime now,
                    MembershipOutput &output);

} // namespace cranberry
