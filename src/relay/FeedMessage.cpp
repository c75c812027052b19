#include "relay/FeedMessage.h"

#include "relay/StoreItemCompression.h"

#include <QCborValue>

#include <algorithm>

namespace cranberry {

namespace {

/// Bytes of items in one datagram before they are compressed, to a third or less.
constexpr qsizetype MostBytes = 3000;

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
    // Only what comes with the last part makes the receiver as fresh as the sender.
    part.targetsAge = UnknownAge;
    qsizetype bytes = 0;
    Revision last = message.base;
    for (const StoreItem &item : message.items) {
        if (bytes > 0 && bytes + item.value.size() > MostBytes) {
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

QCborArray encodeFeed(const FeedMessage &message)
{
    return {int(message.standing),
            message.base.value(),
            message.upTo.value(),
            compressItems(message.items),
            message.configuration.value(),
            message.targets,
            qint64(message.configurationAge.count()),
            qint64(message.targetsAge.count())};
}

std::optional<FeedMessage> decodeFeed(const QCborArray &body)
{
    const qint64 standing = body.at(0).toInteger(-1);
    const bool isKnown =
        standing >= qint64(FeedStanding::Away) && standing <= qint64(FeedStanding::PassesOn);
    const std::optional<QList<StoreItem>> items = decompressItems(body.at(3).toByteArray());
    if (!isKnown || !items)
        return std::nullopt;
    FeedMessage message;
    message.standing = FeedStanding(standing);
    message.base = Revision(body.at(1).toInteger());
    message.upTo = Revision(body.at(2).toInteger());
    message.items = *items;
    message.configuration = Revision(body.at(4).toInteger());
    message.targets = body.at(5).toInteger();
    message.configurationAge = decodeAge(body.at(6));
    message.targetsAge = decodeAge(body.at(7));
    return message;
}

} // namespace cranberry
