// Defines how the table of members takes in what is said of a member.
#pragma once

#include "membership/MembershipOutput.h"
#include "membership/MembershipState.h"

namespace cranberry {

/// True if @p said replaces @p known of the same VM: a greater incarnation does, and at an
/// equal one Dead over Leaving over Suspect over Alive. Thread-safe.
bool replaces(const Member &said, const Member &known);

/// Completes a member that was heard before its address was known.
void fillAddress(Member &known, const Member &said, MembershipOutput &output);

/// Takes in what @p from said of @p said, passes it on if it is new, and refutes it if it is a
/// wrong word of this daemon itself.
void takeWord(MembershipState &state, const Member &said, const VmId &from, MonotonicTime now,
              MembershipOutput &output);

/// Sets the state of a known member and passes it on, but for a suspicion: that is nobody
/// else's matter until it is confirmed. Precondition: @p vm is in the table.
void setMemberState(MembershipState &state, const VmId &vm, MemberState memberState,
                    MonotonicTime now, MembershipOutput &output);

/// Passes on this daemon's own entry.
void announceSelf(MembershipState &state, MonotonicTime now, MembershipOutput &output);

/// Chooses neighbours anew if members came, died or were dropped.
void refreshNeighbours(MembershipState &state, MonotonicTime now);

/// Drops members that have been dead for long.
void expireMembers(MembershipState &state, MonotonicTime now, MembershipOutput &output);

/// The interval to a ring neighbour or a finger that keeps to the bytes a second. Thread-safe.
Milliseconds heartbeatInterval(const MembershipState &state, const VmId &neighbour);

} // namespace cranberry
