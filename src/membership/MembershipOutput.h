#pragma once

#include "membership/Broadcast.h"
#include "membership/HeartbeatMessage.h"
#include "membership/MemberView.h"
#include "membership/ProbeAnswerMessage.h"
#include "membership/ProbeMessage.h"

#include <QList>

#include <variant>

namespace cranberry {

struct OutgoingMessage {
    VmId to;
    std::variant<HeartbeatMessage, ProbeMessage, ProbeAnswerMessage> content;
};

struct PeerVersion {
    VmId from;
    ConfigurationVersion version;
};

/// Actions that a membership decision asks Membership to carry out.
struct MembershipOutput {
    QList<OutgoingMessage> messages;
    /// Members whose state, incarnation or address changed, with their new values.
    QList<Member> changes;
    /// Members that were removed from the table.
    QList<VmId> dropped;
    QList<Broadcast> broadcasts;
    QList<PeerVersion> peerVersions;
    /// Newer entries to send to the sender of outdated ones.
    QList<Member> corrections;
    /// The result of members() has changed.
    bool tableChanged = false;
    /// Heartbeats should be sent now rather than at the next tick.
    bool urgent = false;
};

} // namespace cranberry
