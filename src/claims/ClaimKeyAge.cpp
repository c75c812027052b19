#include "claims/ClaimKeyAge.h"

#include <QUuid>

namespace cranberry {

namespace {

constexpr int UnixTimeVersion = 7;
constexpr int VersionShift = 12;
constexpr int TimestampLowBits = 16;

} // namespace

std::optional<qint64> timeOfUuidV7(const QByteArray &idempotencyKey)
{
    const QUuid uuid = QUuid::fromString(QString::fromLatin1(idempotencyKey));
    if (uuid.isNull() || uuid.variant() != QUuid::DCE
        || uuid.data3 >> VersionShift != UnixTimeVersion)
        return std::nullopt;
    return qint64(uuid.data1) << TimestampLowBits | uuid.data2;
}

bool isBeyondRetention(const QByteArray &idempotencyKey, qint64 nowMs, std::chrono::hours retention)
{
    const std::optional<qint64> time = timeOfUuidV7(idempotencyKey);
    return time && *time < nowMs - std::chrono::milliseconds(retention).count();
}

} // namespace cranberry
