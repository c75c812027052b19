#include "claims/ClaimCodec.h"
#include "claims/ClaimSegment.h"

#include <QCborArray>
#include <QCborMap>
#include <QCborValue>

namespace cranberry {

namespace {

enum SegmentMember {
    SequenceMember = 1,
    ClaimsMember = 2,
    SealedMember = 3,
};

constexpr int SealedFieldCount = 3;

QCborArray encodeSealed(const SealedSegment &sealed)
{
    return {sealed.sequence, sealed.headRevision.value(), sealed.sealedAtMs};
}

std::optional<SealedSegment> decodeSealed(const QCborArray &fields)
{
    const bool wellFormed = fields.size() == SealedFieldCount && fields[0].isInteger()
        && fields[1].isInteger() && fields[2].isInteger();
    if (!wellFormed)
        return std::nullopt;
    return SealedSegment{fields[0].toInteger(), Revision(fields[1].toInteger()),
                         fields[2].toInteger()};
}

} // namespace

QByteArray encodeSegment(const ClaimSegment &segment)
{
    QCborArray claims;
    for (const Claim &claim : segment.claims)
        claims.append(claimToCbor(claim));
    QCborArray sealedSegments;
    for (const SealedSegment &sealed : segment.sealed)
        sealedSegments.append(encodeSealed(sealed));
    const QCborMap map{{int(SequenceMember), segment.sequence},
                       {int(ClaimsMember), claims},
                       {int(SealedMember), sealedSegments}};
    return map.toCborValue().toCbor().toBase64();
}

std::optional<ClaimSegment> decodeSegment(const QByteArray &value)
{
    const auto bytes =
        QByteArray::fromBase64Encoding(value, QByteArray::AbortOnBase64DecodingErrors);
    QCborParserError error;
    const QCborMap map = QCborValue::fromCbor(bytes.decoded, &error).toMap();
    const bool wellFormed = bytes && error.error == QCborError::NoError
        && map[SequenceMember].isInteger() && map[ClaimsMember].isArray()
        && map[SealedMember].isArray();
    if (!wellFormed)
        return std::nullopt;
    ClaimSegment segment;
    segment.sequence = map[SequenceMember].toInteger();
    const QCborArray claims = map[ClaimsMember].toArray();
    for (const auto &fields : claims) {
        const std::optional<Claim> claim = claimFromCbor(fields);
        if (!claim)
            return std::nullopt;
        segment.claims.append(*claim);
    }
    const QCborArray sealedSegments = map[SealedMember].toArray();
    for (const auto &fields : sealedSegments) {
        const std::optional<SealedSegment> sealed = decodeSealed(fields.toArray());
        if (!sealed)
            return std::nullopt;
        segment.sealed.append(*sealed);
    }
    return segment;
}

} // namespace cranberry
