#include "claims/ClaimCodec.h"

namespace cranberry {

namespace {

/// Positions in the array of a claim. An array is smaller than a map, and each write carries a
/// whole segment of claims.
enum ClaimField {
    KeyField,
    FingerprintField,
    AttemptField,
    VmField,
    TimeField,
    ClaimFieldCount,
};

} // namespace

QCborArray claimToCbor(const Claim &claim)
{
    return {claim.key, claim.fingerprint, claim.attempt.text(), claim.vm.text(), claim.timeMs};
}

std::optional<Claim> claimFromCbor(const QCborValue &value)
{
    const QCborArray fields = value.toArray();
    const bool wellFormed = fields.size() == ClaimFieldCount && fields[KeyField].isByteArray()
        && fields[FingerprintField].isByteArray() && fields[AttemptField].isString()
        && fields[VmField].isString() && fields[TimeField].isInteger();
    if (!wellFormed || fields[KeyField].toByteArray().isEmpty())
        return std::nullopt;
    return Claim{fields[KeyField].toByteArray(), fields[FingerprintField].toByteArray(),
                 AttemptId(fields[AttemptField].toString()), VmId(fields[VmField].toString()),
                 fields[TimeField].toInteger()};
}

} // namespace cranberry
