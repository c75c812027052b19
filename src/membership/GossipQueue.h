#pragma once

#include "membership/HeartbeatMessage.h"

#include <QList>
#include <QSet>

#include <variant>

namespace cranberry {

/// An update about a member or a broadcast that is queued for gossip.
struct GossipItem {
    std::variant<Member, Broadcast> content;
    MonotonicTime queuedAt;
    /// Members that received the item from this daemon or sent it to this daemon.
    QSet<VmId> knownTo;
};

/// Updates that a daemon still has to send to its neighbours.
/// Each item is sent once to each neighbour and then dropped. The messages that a daemon sends
/// for one item are bounded by the number of its neighbours, and each item floods the fleet once.
struct GossipQueue {
    QList<GossipItem> items;
    /// Numbers of broadcasts already received, and the same numbers oldest first for eviction.
    QSet<qint64> seenBroadcasts;
    QList<qint64> seenBroadcastOrder;
};

// None of these functions does I/O or reads a clock.

/// Queues @p member and replaces any queued update of the same VM.
void queueMemberUpdate(GossipQueue &queue, const Member &member, const VmId &knownTo,
                       MonotonicTime now, int maxItems);

/// Records that @p knownTo has the queued update if it equals @p member, so that it is not sent
/// to @p knownTo.
void markMemberKnown(GossipQueue &queue, const Member &member, const VmId &knownTo);

/// Queues @p item. Returns false if it was received before.
bool queueBroadcast(GossipQueue &queue, const Broadcast &item, const VmId &knownTo,
                    MonotonicTime now, int maxItems);

/// True if an item has not been sent to @p neighbour yet.
bool hasPendingGossip(const GossipQueue &queue, const VmId &neighbour);

/// Adds up to @p bytes of pending items for @p neighbour to @p message and marks them as known to
/// it. Joins come last; otherwise the oldest come first. A first item is added whatever its size.
/// Returns the bytes used.
int collectGossip(GossipQueue &queue, const VmId &neighbour, int bytes, HeartbeatMessage &message);

/// Drops items that all @p neighbours have or that are older than @p lifetime.
void pruneGossip(GossipQueue &queue, const QList<VmId> &neighbours, MonotonicTime now,
                 Milliseconds lifetime);

} // namespace cranberry
