#include "membership/HeartbeatMessage.h"
#include "membership/MemberEntry.h"
#include "membership/ProbeAnswerMessage.h"
#include "membership/ProbeMessage.h"

#include <QCborArray>

#include <limits>

namespace cranberry {

namespace {

constexpr qsizetype LongestText = 255;
constexpr qsizetype MostItems = 256;
constexpr qint64 LongestPromise = 600'000;

/// Positions in the array of a member entry.
enum EntryField {
    EntryVm,
    EntryState,
    EntryIncarnation,
    EntryVersion,
    EntryDataCentre,
    EntryAddress,
    EntryPort,
    EntryFields,
};

/// Positions in the array of a news item.
enum NewsField {
    NewsKind,
    NewsOrigin,
    NewsNumber,
    NewsBody,
    NewsFields,
};

/// Keys of the messages; each number is a wire value.
enum HeartbeatKey {
    HeartbeatIncarnation = 1,
    HeartbeatVersion = 2,
    HeartbeatNext = 3,
    HeartbeatLeaving = 4,
    HeartbeatMembers = 5,
    HeartbeatNews = 6,
    HeartbeatCredits = 7,
};

enum ProbeKey {
    ProbeTarget = 1,
    ProbeReached = 2,
    ProbeIncarnation = 3,
};

bool isText(const QCborValue &value)
{
    return value.isString() && value.toString().size() <= LongestText;
}

bool isName(const QCborValue &value)
{
    return isText(value) && !value.toString().isEmpty();
}

bool isCount(const QCborValue &value, qint64 largest = std::numeric_limits<qint64>::max())
{
    return value.isInteger() && value.toInteger() >= 0 && value.toInteger() <= largest;
}

bool isIncarnation(const QCborValue &value)
{
    return isCount(value, LargestIncarnation.value());
}

/// False if one of the items is malformed.
template <typename Item, typename Decode>
bool decodeList(const QCborValue &value, Decode decode, QList<Item> &items)
{
    if (value.isUndefined())
        return true;
    if (!value.isArray() || value.toArray().size() > MostItems)
        return false;
    const QCborArray array = value.toArray();
    for (const auto &element : array) {
        const std::optional<Item> item = decode(element);
        if (!item)
            return false;
        items.append(*item);
    }
    return true;
}

} // namespace

QCborValue memberToCbor(const Member &member)
{
    QCborArray array;
    array.append(member.vm.text());
    array.append(int(member.state));
    array.append(member.incarnation.value());
    array.append(member.configurationVersion.value());
    array.append(member.dataCentre.text());
    array.append(member.address);
    array.append(int(member.peerPort));
    return array;
}

std::optional<Member> memberFromCbor(const QCborValue &value)
{
    const QCborArray array = value.toArray();
    if (array.size() != EntryFields || !isName(array.at(EntryVm))
        || !isCount(array.at(EntryState), qint64(MemberState::Dead))
        || !isIncarnation(array.at(EntryIncarnation)) || !isCount(array.at(EntryVersion))
        || !isText(array.at(EntryDataCentre)) || !isText(array.at(EntryAddress))
        || !isCount(array.at(EntryPort), std::numeric_limits<quint16>::max()))
        return std::nullopt;
    Member member;
    member.vm = VmId(array.at(EntryVm).toString());
    member.state = MemberState(array.at(EntryState).toInteger());
    member.incarnation = Incarnation(array.at(EntryIncarnation).toInteger());
    member.configurationVersion = ConfigurationVersion(array.at(EntryVersion).toInteger());
    member.dataCentre = DataCentreId(array.at(EntryDataCentre).toString());
    member.address = array.at(EntryAddress).toString();
    member.peerPort = quint16(array.at(EntryPort).toInteger());
    return member;
}

QCborValue newsToCbor(const NewsItem &item)
{
    QCborArray array;
    array.append(int(item.kind));
    array.append(item.origin.text());
    array.append(item.number);
    array.append(item.body);
    return array;
}

std::optional<NewsItem> newsFromCbor(const QCborValue &value)
{
    const QCborArray array = value.toArray();
    if (array.size() != NewsFields
        || !isCount(array.at(NewsKind), qint64(PeerMessageKind::TargetLeaving))
        || !isName(array.at(NewsOrigin)) || !isCount(array.at(NewsNumber))
        || !array.at(NewsBody).isMap())
        return std::nullopt;
    NewsItem item;
    item.kind = PeerMessageKind(array.at(NewsKind).toInteger());
    item.origin = VmId(array.at(NewsOrigin).toString());
    item.number = array.at(NewsNumber).toInteger();
    item.body = array.at(NewsBody).toMap();
    return item;
}

QCborMap heartbeatToCbor(const HeartbeatMessage &message)
{
    QCborMap body;
    body.insert(HeartbeatIncarnation, message.incarnation.value());
    body.insert(HeartbeatVersion, message.configurationVersion.value());
    body.insert(HeartbeatNext, qint64(message.next.count()));
    if (message.leaving)
        body.insert(HeartbeatLeaving, true);
    QCborArray members;
    for (const Member &member : message.members)
        members.append(memberToCbor(member));
    if (!members.isEmpty())
        body.insert(HeartbeatMembers, members);
    QCborArray news;
    for (const NewsItem &item : message.news)
        news.append(newsToCbor(item));
    if (!news.isEmpty())
        body.insert(HeartbeatNews, news);
    if (!message.credits.isEmpty())
        body.insert(HeartbeatCredits, message.credits);
    return body;
}

std::optional<HeartbeatMessage> heartbeatFromCbor(const QCborMap &body)
{
    if (!isIncarnation(body.value(HeartbeatIncarnation)) || !isCount(body.value(HeartbeatVersion))
        || !isCount(body.value(HeartbeatNext), LongestPromise))
        return std::nullopt;
    HeartbeatMessage message;
    message.incarnation = Incarnation(body.value(HeartbeatIncarnation).toInteger());
    message.configurationVersion = ConfigurationVersion(body.value(HeartbeatVersion).toInteger());
    message.next = Milliseconds(body.value(HeartbeatNext).toInteger());
    message.leaving = body.value(HeartbeatLeaving).toBool();
    message.credits = body.value(HeartbeatCredits).toMap();
    if (!decodeList(body.value(HeartbeatMembers), memberFromCbor, message.members)
        || !decodeList(body.value(HeartbeatNews), newsFromCbor, message.news))
        return std::nullopt;
    return message;
}

QCborMap probeToCbor(const ProbeMessage &message)
{
    return {{ProbeTarget, message.target.text()}};
}

std::optional<ProbeMessage> probeFromCbor(const QCborMap &body)
{
    if (!isName(body.value(ProbeTarget)))
        return std::nullopt;
    return ProbeMessage{VmId(body.value(ProbeTarget).toString())};
}

QCborMap probeAnswerToCbor(const ProbeAnswerMessage &message)
{
    return {{ProbeTarget, message.target.text()},
            {ProbeReached, message.reached},
            {ProbeIncarnation, message.incarnation.value()}};
}

std::optional<ProbeAnswerMessage> probeAnswerFromCbor(const QCborMap &body)
{
    if (!isName(body.value(ProbeTarget)) || !body.value(ProbeReached).isBool()
        || !isIncarnation(body.value(ProbeIncarnation)))
        return std::nullopt;
    ProbeAnswerMessage message;
    message.target = VmId(body.value(ProbeTarget).toString());
    message.reached = body.value(ProbeReached).toBool();
    message.incarnation = Incarnation(body.value(ProbeIncarnation).toInteger());
    return message;
}

} // namespace cranberry
