// Defines MembershipOutput, what a membership decision asks the shell to do.
#pragma once

#include "membership/HeartbeatMessage.h"
#include "membership/MemberView.h"
#include "membership/NewsItem.h"
#include "membership/ProbeAnswerMessage.h"
#include "membership/ProbeMessage.h"

#include <QList>

#include <variant>

namespace cranberry {

struct OutgoingMessage {
    VmId to;
    std::variant<HeartbeatMessage, ProbeMessage, ProbeAnswerMessage> content;
};

struct HeardVersion {
    VmId from;
    ConfigurationVersion version;
};

struct MembershipOutput {
    QList<OutgoingMessage> messages;
    /// Members whose state, incarnation or address changed, as they are now.
    QList<Member> changes;
    /// Members that were dropped from the table.
    QList<VmId> dropped;
    QList<NewsItem> news;
    QList<HeardVersion> versions;
    /// Newer words for whoever told outdated ones.
    QList<Member> corrections;
    /// What members() shows has changed.
    bool tableChanged = false;
    /// Heartbeats should leave now rather than at the next tick.
    bool urgent = false;
};

} // namespace cranberry
