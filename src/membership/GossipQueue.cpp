#include "membership/GossipQueue.h"

#include "membership/MemberEntry.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr qsizetype MostTakenNews = 4096;

int encodedSize(const GossipItem &item)
{
    if (const auto *member = std::get_if<Member>(&item.content))
        return int(memberToCbor(*member).toCbor().size());
    return int(newsToCbor(std::get<NewsItem>(item.content)).toCbor().size());
}

bool isPressing(const GossipItem &item)
{
    const auto *member = std::get_if<Member>(&item.content);
    return !member || member->state != MemberState::Alive;
}

void append(GossipQueue &queue, GossipItem item, const VmId &knownTo, int mostItems)
{
    if (!knownTo.isEmpty())
        item.knownTo.insert(knownTo);
    // A full queue loses its oldest join, or if it holds none its oldest item: that one has
    // reached most neighbours.
    if (queue.items.size() >= mostItems) {
        const auto join = std::find_if_not(queue.items.begin(), queue.items.end(), isPressing);
        queue.items.erase(join == queue.items.end() ? queue.items.begin() : join);
    }
    queue.items.append(std::move(item));
}

} // namespace

void gossipMember(GossipQueue &queue, const Member &member, const VmId &knownTo, MonotonicTime now,
                  int mostItems)
{
    const auto ofSameVm = [&](const GossipItem &item) {
        const auto *queued = std::get_if<Member>(&item.content);
        return queued && queued->vm == member.vm;
    };
    queue.items.removeIf(ofSameVm);
    GossipItem item{member, now, {}};
    // A member that is called suspect or dead has to hear it, to refute it.
    if (member.state == MemberState::Alive || member.state == MemberState::Leaving)
        item.knownTo.insert(member.vm);
    append(queue, std::move(item), knownTo, mostItems);
}

void noteMemberKnown(GossipQueue &queue, const Member &member, const VmId &knownTo)
{
    for (GossipItem &item : queue.items) {
        const auto *queued = std::get_if<Member>(&item.content);
        if (queued && queued->vm == member.vm && queued->incarnation == member.incarnation
            && queued->state == member.state)
            item.knownTo.insert(knownTo);
    }
}

bool gossipNews(GossipQueue &queue, const NewsItem &item, const VmId &knownTo, MonotonicTime now,
                int mostItems)
{
    if (queue.takenNews.contains(item.number)) {
        // Who tells it again has it: nothing more to send there.
        for (GossipItem &queued : queue.items) {
            const auto *news = std::get_if<NewsItem>(&queued.content);
            if (news && news->number == item.number)
                queued.knownTo.insert(knownTo);
        }
        return false;
    }
    queue.takenNews.insert(item.number);
    queue.takenOrder.append(item.number);
    if (queue.takenOrder.size() > MostTakenNews)
        queue.takenNews.remove(queue.takenOrder.takeFirst());
    append(queue, {item, now, {item.origin}}, knownTo, mostItems);
    return true;
}

bool gossipWaits(const GossipQueue &queue, const VmId &neighbour)
{
    return std::any_of(queue.items.begin(), queue.items.end(),
                       [&](const GossipItem &item) { return !item.knownTo.contains(neighbour); });
}

int takeGossip(GossipQueue &queue, const VmId &neighbour, int bytes, HeartbeatMessage &message)
{
    // Many joins at once must not hold up the word of a member or target that is going.
    std::stable_partition(queue.items.begin(), queue.items.end(), isPressing);
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
            message.news.append(std::get<NewsItem>(item.content));
    }
    return used;
}

void trimGossip(GossipQueue &queue, const QList<VmId> &neighbours, MonotonicTime now,
                Milliseconds life)
{
    queue.items.removeIf([&](const GossipItem &item) {
        const bool done = std::all_of(neighbours.begin(), neighbours.end(),
                                      [&](const VmId &vm) { return item.knownTo.contains(vm); });
        return done || now - item.since > life;
    });
}

} // namespace cranberry
