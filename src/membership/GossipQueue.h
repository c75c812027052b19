// Defines GossipQueue, what a daemon still has to pass on to its neighbours.
#pragma once

#include "membership/HeartbeatMessage.h"

#include <QList>
#include <QSet>

#include <variant>

namespace cranberry {

struct GossipItem {
    std::variant<Member, NewsItem> content;
    MonotonicTime since;
    /// Neighbours that have it: from this daemon, or who told it to this daemon.
    QSet<VmId> knownTo;
};

/// Each item goes once to each neighbour and is then done with, so what a daemon sends of one
/// item is bounded by its neighbours, and each item floods the fleet once.
struct GossipQueue {
    QList<GossipItem> items;
    /// News that was taken already, and the order in which to forget it.
    QSet<qint64> takenNews;
    QList<qint64> takenOrder;
};

/// Queues @p member in place of what the queue holds of the same VM. No I/O, no clock; so
/// are all functions here.
void gossipMember(GossipQueue &queue, const Member &member, const VmId &knownTo, MonotonicTime now,
                  int mostItems);

/// Notes that @p knownTo has told the same of @p member, so need not be told.
void noteMemberKnown(GossipQueue &queue, const Member &member, const VmId &knownTo);

/// Queues @p item. False if it was taken before.
bool gossipNews(GossipQueue &queue, const NewsItem &item, const VmId &knownTo, MonotonicTime now,
                int mostItems);

/// True if something waits for @p neighbour.
bool gossipWaits(const GossipQueue &queue, const VmId &neighbour);

/// Moves up to @p bytes of what waits for @p neighbour to @p message, joins last, else the
/// oldest first. Returns the bytes used.
int takeGossip(GossipQueue &queue, const VmId &neighbour, int bytes, HeartbeatMessage &message);

/// Drops items that all @p neighbours have or that are older than @p life.
void trimGossip(GossipQueue &queue, const QList<VmId> &neighbours, MonotonicTime now,
                Milliseconds life);

} // namespace cranberry
