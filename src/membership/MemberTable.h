#pragma once

#include "membership/MembershipOutput.h"
#include "membership/MembershipState.h"

namespace cranberry {

/// True if @p update supersedes @p known of the same VM. A greater incarnation supersedes; at equal
/// incarnations the precedence is Dead, Leaving, Suspect, Alive. Thread-safe.
bool supersedes(const Member &update, const Member &known);

/// Sets the address of @p known from @p update if it is still unknown, as it is for a member that
/// sent a heartbeat before any entry with its address arrived.
void fillMissingAddress(Member &known, const Member &update, MembershipOutput &output);

/// Merges @p update, received from @p from. A new update is queued for gossip. An update that
/// reports this daemon suspect or dead is refuted.
void applyMemberUpdate(MembershipState &state, const Member &update, const VmId &from,
                       MonotonicTime now, MembershipOutput &output);

/// Sets the state of a known member and queues it for gossip. A suspicion stays local until it is
/// confirmed. Precondition: @p vm is in the table.
void setMemberState(MembershipState &state, const VmId &vm, MemberState memberState,
                    MonotonicTime now, MembershipOutput &output);

/// Queues this daemon's own entry for gossip.
void announceSelf(MembershipState &state, MonotonicTime now, MembershipOutput &output);

/// Recomputes the neighbours if members have joined, died or come back.
void refreshNeighbours(MembershipState &state, MonotonicTime now);

/// Drops members that have been dead for longer than MembershipSettings::deadRetention, and
/// expired inbound neighbours.
void expireMembers(MembershipState &state, MonotonicTime now, MembershipOutput &output);

/// The heartbeat interval to @p neighbour, which may be a ring neighbour or a finger, within the
/// budget of MembershipSettings::bytesPerSecond. Thread-safe.
Milliseconds heartbeatIntervalTo(const MembershipState &state, const VmId &neighbour);

} // namespace cranberry
