#include "membership/HeartbeatMessage.h"
#include "membership/MemberEntry.h"
#include "membership/ProbeAnswerMessage.h"
#include "membership/ProbeMessage.h"

#include <QCborArray>

#include <limits>

namespace cranberry {

namespace {

constexpr qsizetype MaxTextLength = 255;
constexpr qsizetype MaxListItems = 256;
constexpr qint64 MaxHeartbeatIntervalMs = 600'000;

/// Positions in the array of a member entry.
enum EntryField {
    EntryVm,
    EntryState,
    EntryIncarnation,
    EntryVersion,
    EntryDataCentre,
    EntryAddress,
    EntryPort,
    EntryFieldCount,
};

/// Positions in the array of a broadcast.
enum BroadcastField {
    BroadcastKind,
    BroadcastOrigin,
    BroadcastNumber,
    BroadcastBody,
    BroadcastFieldCount,
};

/// Keys of the message maps; each number is a wire value.
enum HeartbeatKey {
    HeartbeatIncarnation = 1,
    HeartbeatVersion = 2,
    HeartbeatNext = 3,
    HeartbeatLeaving = 4,
    HeartbeatMembers = 5,
    HeartbeatBroadcasts = 6,
    HeartbeatCredits = 7,
};

enum ProbeKey {
    ProbeTarget = 1,
    ProbeReached = 2,
    ProbeIncarnation = 3,
};

bool isText(const QCborValue &value)
{
    return value.isString() && value.toString().size() <= MaxTextLength;
}

bool isName(const QCborValue &value)
{
    return isText(value) && !value.toString().isEmpty();
}

bool isCount(const QCborValue &value, qint64 max = std::numeric_limits<qint64>::max())
{
    return value.isInteger() && value.toInteger() >= 0 && value.toInteger() <= max;
}

bool isIncarnation(const QCborValue &value)
{
    return isCount(value, MaxIncarnation.value());
}

/// Returns false if the list or one of its items is malformed.
template <typename Item, typename Decode>
bool decodeList(const QCborValue &value, Decode decode, QList<Item> &items)
{
    if (value.isUndefined())
        return true;
    if (!value.isArray() || value.toArray().size() > MaxListItems)
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
    if (array.size() != EntryFieldCount || !isName(array.at(EntryVm))
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

QCborValue broadcastToCbor(const Broadcast &item)
{
    QCborArray array;
    array.append(int(item.kind));
    array.append(item.origin.text());
    array.append(item.number);
    array.append(item.body);
    return array;
}

std::optional<Broadcast> broadcastFromCbor(const QCborValue &value)
{
    const QCborArray array = value.toArray();
    if (array.size() != BroadcastFieldCount
        || !isCount(array.at(BroadcastKind), qint64(PeerMessageKind::TargetLeaving))
        || !isName(array.at(BroadcastOrigin)) || !isCount(array.at(BroadcastNumber))
        || !array.at(BroadcastBody).isMap())
        return std::nullopt;
    Broadcast item;
    item.kind = PeerMessageKind(array.at(BroadcastKind).toInteger());
    item.origin = VmId(array.at(BroadcastOrigin).toString());
    item.number = array.at(BroadcastNumber).toInteger();
    item.body = array.at(BroadcastBody).toMap();
    return item;
}

QCborMap heartbeatToCbor(const HeartbeatMessage &message)
{
    QCborMap body;
    body.insert(HeartbeatIncarnation, message.incarnation.value());
    body.insert(HeartbeatVersion, message.configurationVersion.value());
    body.insert(HeartbeatNext, qint64(message.nextInterval.count()));
    if (message.leaving)
        body.insert(HeartbeatLeaving, true);
    QCborArray members;
    for (const Member &member : message.members)
        members.append(memberToCbor(member));
    if (!members.isEmpty())
        body.insert(HeartbeatMembers, members);
    QCborArray broadcasts;
    for (const Broadcast &item : message.broadcasts)
        broadcasts.append(broadcastToCbor(item));
    if (!broadcasts.isEmpty())
        body.insert(HeartbeatBroadcasts, broadcasts);
    if (!message.credits.isEmpty())
        body.insert(HeartbeatCredits, message.credits);
    return body;
}

std::optional<HeartbeatMessage> heartbeatFromCbor(const QCborMap &body)
{
    if (!isIncarnation(body.value(HeartbeatIncarnation)) || !isCount(body.value(HeartbeatVersion))
        || !isCount(body.value(HeartbeatNext), MaxHeartbeatIntervalMs))
        return std::nullopt;
    HeartbeatMessage message;
    message.incarnation = Incarnation(body.value(HeartbeatIncarnation).toInteger());
    message.configurationVersion = ConfigurationVersion(body.value(HeartbeatVersion).toInteger());
    message.nextInterval = Milliseconds(body.value(HeartbeatNext).toInteger());
    message.leaving = body.value(HeartbeatLeaving).toBool();
    message.credits = body.value(HeartbeatCredits).toMap();
    if (!decodeList(body.value(HeartbeatMembers), memberFromCbor, message.members)
        || !decodeList(body.value(HeartbeatBroadcasts), broadcastFromCbor, message.broadcasts))
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
