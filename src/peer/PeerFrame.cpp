#include "peer/PeerFrame.h"

#include <QCborArray>
#include <QCborParserError>
#include <QCborValue>

namespace cranberry {

namespace {

constexpr qint64 MinKind = qint64(PeerMessageKind::Heartbeat);
constexpr qint64 MaxKind = qint64(PeerMessageKind::TargetLeaving);

} // namespace

QByteArray encodePeerFrame(const PeerFrame &frame)
{
    QCborArray array;
    array.append(int(frame.kind));
    array.append(frame.body);
    return QCborValue(array).toCbor();
}

std::optional<PeerFrame> decodePeerFrame(const QByteArray &bytes)
{
    QCborParserError error;
    const QCborValue value = QCborValue::fromCbor(bytes, &error);
    if (error.error.c != QCborError::NoError || error.offset != bytes.size() || !value.isArray())
        return std::nullopt;
    const QCborArray array = value.toArray();
    if (array.size() != 2 || !array.at(0).isInteger() || !array.at(1).isMap())
        return std::nullopt;
    const qint64 kind = array.at(0).toInteger();
    if (kind < MinKind || kind > MaxKind)
        return std::nullopt;
    return PeerFrame{PeerMessageKind(kind), array.at(1).toMap()};
}

} // namespace cranberry
