#include "membership/GossipQueue.h"

#include "membership/MemberEntry.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr qsizetype MaxSeenBroadcasts = 4096;

int encodedSize(const GossipItem &item)
{
    if (const auto *member = std::get_if<Member>(&item.content))
        return int(memberToCbor(*member).toCbor().size());
    return int(broadcastToCbor(std::get<Broadcast>(item.content)).toCbor().size());
}

bool isHighPriority(const GossipItem &item)
{
    const auto *member = std::get_if<Member>(&item.content);
    return !member || member->state != MemberState::Alive;
}

void append(GossipQueue &queue, GossipItem item, const VmId &knownTo, int maxItems)
{
    if (!knownTo.isEmpty())
        item.knownTo.insert(knownTo);
    // A full queue drops its oldest join or, without a join, its oldest item, which has been sent
    // to the most neighbours.
    if (queue.items.size() >= maxItems) {
        const auto oldestJoin =
            std::find_if_not(queue.items.begin(), queue.items.end(), isHighPriority);
        queue.items.erase(oldestJoin == queue.items.end() ? queue.items.begin() : oldestJoin);
    }
    queue.items.append(std::move(item));
}

} // namespace

void queueMemberUpdate(GossipQueue &queue, const Member &member, const VmId &knownTo,
                       MonotonicTime now, int maxItems)
{
    const auto ofSameVm = [&](const GossipItem &item) {
        const auto *queued = std::get_if<Member>(&item.content);
        return queued && queued->vm == member.vm;
    };
    queue.items.removeIf(ofSameVm);
    GossipItem item{member, now, {}};
    // A member that is reported suspect or dead has to receive the report to refute it.
    if (member.state == MemberState::Alive || member.state == MemberState::Leaving)
        item.knownTo.insert(member.vm);
    append(queue, std::move(item), knownTo, maxItems);
}

void markMemberKnown(GossipQueue &queue, const Member &member, const VmId &knownTo)
{
    for (GossipItem &item : queue.items) {
        const auto *queued = std::get_if<Member>(&item.content);
        if (queued && queued->vm == member.vm && queued->incarnation == member.incarnation
            && queued->state == member.state)
            item.knownTo.insert(knownTo);
    }
}

bool queueBroadcast(GossipQueue &queue, const Broadcast &item, const VmId &knownTo,
                    MonotonicTime now, int maxItems)
{
    if (queue.seenBroadcasts.contains(item.number)) {
        // The sender of a duplicate has the broadcast: it is not sent back there.
        for (GossipItem &queued : queue.items) {
            const auto *broadcast = std::get_if<Broadcast>(&queued.content);
            if (broadcast && broadcast->number == item.number)
                queued.knownTo.insert(knownTo);
        }
        return false;
    }
    queue.seenBroadcasts.insert(item.number);
    queue.seenBroadcastOrder.append(item.number);
    if (queue.seenBroadcastOrder.size() > MaxSeenBroadcasts)
        queue.seenBroadcasts.remove(queue.seenBroadcastOrder.takeFirst());
    append(queue, {item, now, {item.origin}}, knownTo, maxItems);
    return true;
}

bool hasPendingGossip(const GossipQueue &queue, const VmId &neighbour)
{
    return std::any_of(queue.items.begin(), queue.items.end(),
                       [&](const GossipItem &item) { return !item.knownTo.contains(neighbour); });
}

int collectGossip(GossipQueue &queue, const VmId &neighbour, int bytes, HeartbeatMessage &message)
{
    // Many simultaneous joins must not delay the update of a member or target that is leaving.
    std::stable_partition(queue.items.begin(), queue.items.end(), isHighPriority);
    int used = 0;
    for (GossipItem &item : queue.items) {
        if (item.knownTo.contains(neighbour))
            continue;
        const int size = encodedSize(item);
        if (used > 0 && used + size > bytes)
            break;
        used += size;
        item.knownTo.insert(neighbour);
        if (const auto *member = std::get_if<Member>(&item.content))
            message.members.append(*member);
        else
            message.broadcasts.append(std::get<Broadcast>(item.content));
    }
    return used;
}

void pruneGossip(GossipQueue &queue, const QList<VmId> &neighbours, MonotonicTime now,
                 Milliseconds lifetime)
{
    queue.items.removeIf([&](const GossipItem &item) {
        const bool isDelivered =
            std::all_of(neighbours.begin(), neighbours.end(),
                        [&](const VmId &vm) { return item.knownTo.contains(vm); });
        return isDelivered || now - item.queuedAt > lifetime;
    });
}

} // namespace cranberry
