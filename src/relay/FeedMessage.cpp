#include "relay/FeedMessage.h"

#include "relay/StoreItemCompression.h"

#include <QCborValue>

#include <algorithm>

namespace cranberry {

namespace {

/// Maximum size of the items of one datagram before compression, which reduces it to a third or
/// less.
constexpr qsizetype MaxUncompressedBytes = 3000;

} // namespace

Milliseconds decodeAge(const QCborValue &value)
{
    return Milliseconds(
        std::clamp<qint64>(value.toInteger(UnknownAge.count()), 0, UnknownAge.count()));
}

QList<FeedMessage> splitForDatagrams(const FeedMessage &message)
{
    QList<FeedMessage> parts;
    FeedMessage part = message;
    part.items.clear();
    // Only the last part makes the receiver as fresh as the sender.
    part.targetsAge = UnknownAge;
    qsizetype bytes = 0;
    Revision last = message.base;
    for (const StoreItem &item : message.items) {
        if (bytes > 0 && bytes + item.value.size() > MaxUncompressedBytes) {
            part.upTo = last;
            parts.append(part);
            part.base = last;
            part.items.clear();
            bytes = 0;
        }
        part.items.append(item);
        bytes += item.key.size() + item.value.size();
        last = std::max(last, item.revision);
    }
    part.upTo = message.upTo;
    part.targetsAge = message.targetsAge;
    parts.append(part);
    return parts;
}

QCborArray encodeFeedMessage(const FeedMessage &message)
{
    return {int(message.role),
            message.base.value(),
            message.upTo.value(),
            compressItems(message.items),
            message.configurationRevision.value(),
            message.targetCount,
            qint64(message.configurationAge.count()),
            qint64(message.targetsAge.count())};
}

std::optional<FeedMessage> decodeFeedMessage(const QCborArray &body)
{
    const qint64 role = body.at(0).toInteger(-1);
    const bool isKnown =
        role >= qint64(FeedRole::Disconnected) && role <= qint64(FeedRole::Forwarder);
    const std::optional<QList<StoreItem>> items = decompressItems(body.at(3).toByteArray());
    if (!isKnown || !items)
        return std::nullopt;
    FeedMessage message;
    message.role = FeedRole(role);
    message.base = Revision(body.at(1).toInteger());
    message.upTo = Revision(body.at(2).toInteger());
    message.items = *items;
    message.configurationRevision = Revision(body.at(4).toInteger());
    message.targetCount = body.at(5).toInteger();
    message.configurationAge = decodeAge(body.at(6));
    message.targetsAge = decodeAge(body.at(7));
    return message;
}

} // namespace cranberry
