// Defines the rules of membership: from a state and an event to a new state and messages.
#pragma once

#include "membership/MembershipOutput.h"
#include "membership/MembershipState.h"

#include <QCborMap>
#include <QList>

namespace cranberry {

// Each function changes only its state; time and random numbers are passed in. They may be
// called from any thread that owns the state.

/// The state of a daemon that knows nobody yet. Precondition: @p self names its VM and has an
/// incarnation over 0.
MembershipState makeMembership(const Member &self, const MembershipSettings &settings,
                               MonotonicTime now);

/// Takes @p listed, of the platform's list of VMs, as alive until they prove silent. The list
/// lags, so it never changes what is known of a member.
MembershipOutput takeListedMembers(MembershipState &state, const QList<Member> &listed,
                                   MonotonicTime now);

/// Sends what is due, suspects who was silent, ends probes. To be called about each tenth of
/// a second, and at once after an output that is urgent.
MembershipOutput onTick(MembershipState &state, MonotonicTime now, quint64 random);

/// @p bytes is the size of the message without headers.
MembershipOutput onHeartbeat(MembershipState &state, const VmId &from,
                             const HeartbeatMessage &message, int bytes, MonotonicTime now);

MembershipOutput onProbe(MembershipState &state, const VmId &from, const ProbeMessage &message,
                         MonotonicTime now);

MembershipOutput onProbeAnswer(MembershipState &state, const VmId &from,
                               const ProbeAnswerMessage &message, MonotonicTime now);

/// The link to @p vm broke or could not be made: it is probed at once.
MembershipOutput onLinkLost(MembershipState &state, const VmId &vm, MonotonicTime now,
                            quint64 random);

MembershipOutput leave(MembershipState &state, MonotonicTime now);

MembershipOutput setOwnVersion(MembershipState &state, ConfigurationVersion version);

/// Queues news of this daemon for everyone. @p number is random and not 0.
MembershipOutput addNews(MembershipState &state, PeerMessageKind kind, const QCborMap &body,
                         qint64 number, MonotonicTime now);

/// Counts @p bytes that were sent with a heartbeat beside what onTick put into it.
void noteBytesSent(MembershipState &state, int bytes);

/// True if others are known, or none at all, and nobody was heard for a while.
bool isIsolated(const MembershipState &state, MonotonicTime now);

} // namespace cranberry
