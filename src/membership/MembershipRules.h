#pragma once

#include "membership/MembershipOutput.h"
#include "membership/MembershipState.h"

#include <QCborMap>
#include <QList>

namespace cranberry {

// The membership rules: each function maps a state and an event to a new state and messages.
// Each function changes only the state passed to it; time and random numbers are arguments.
// Thread safety: the caller must own the state.

/// The state of a daemon that knows no other member. Precondition: @p self has a VM id and an
/// incarnation greater than 0.
MembershipState makeMembershipState(const Member &self, const MembershipSettings &settings,
                                    MonotonicTime now);

/// Adds the members of @p listed, the platform's list of VMs, as alive until heartbeats are
/// missing. The list lags, so it changes no known member, except that one declared dead without
/// ever having been heard is added again.
MembershipOutput applyListedMembers(MembershipState &state, const QList<Member> &listed,
                                    MonotonicTime now);

/// Sends due heartbeats, suspects silent neighbours and finishes probe rounds. To be called about
/// every 100 ms, and at once after an urgent output.
MembershipOutput onTick(MembershipState &state, MonotonicTime now, quint64 random);

/// Handles a heartbeat from @p from. @p bytes is the size of the message without headers.
MembershipOutput onHeartbeat(MembershipState &state, const VmId &from,
                             const HeartbeatMessage &message, int bytes, MonotonicTime now);

MembershipOutput onProbe(MembershipState &state, const VmId &from, const ProbeMessage &message,
                         MonotonicTime now);

MembershipOutput onProbeAnswer(MembershipState &state, const VmId &from,
                               const ProbeAnswerMessage &message, MonotonicTime now);

/// Handles a link to @p vm that broke or could not be established: a neighbour is probed at once.
MembershipOutput onLinkLost(MembershipState &state, const VmId &vm, MonotonicTime now,
                            quint64 random);

MembershipOutput leave(MembershipState &state, MonotonicTime now);

MembershipOutput setOwnConfigurationVersion(MembershipState &state, ConfigurationVersion version);

/// Queues a broadcast of this daemon to all members. @p number is random and not 0.
MembershipOutput addBroadcast(MembershipState &state, PeerMessageKind kind, const QCborMap &body,
                              qint64 number, MonotonicTime now);

/// Charges @p bytes that were added to a heartbeat after onTick() charged its size.
void recordBytesSent(MembershipState &state, int bytes);

/// True if no message was received for longer than MembershipSettings::isolationTimeout.
bool isIsolated(const MembershipState &state, MonotonicTime now);

} // namespace cranberry
