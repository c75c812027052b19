#include "claims/SealedClaims.h"

namespace cranberry {

void SealedClaims::insert(const SealedSegment &sealed, Revision revision,
                          const ClaimSegment &segment)
{
    Segment entry{sealed, revision, {}};
    for (const Claim &claim : segment.claims)
        entry.claims.insert(claim.key, claim);
    m_segments.insert(sealed.headRevision.value(), entry);
}

QList<SealedSegment> SealedClaims::findMissing(const QList<SealedSegment> &references) const
{
    QList<SealedSegment> result;
    for (const SealedSegment &sealed : references) {
        if (!m_segments.contains(sealed.headRevision.value()))
            result.append(sealed);
    }
    return result;
}

QList<QPair<SealedSegment, Revision>>
SealedClaims::retainOnly(const QList<SealedSegment> &references)
{
    QList<QPair<SealedSegment, Revision>> removed;
    for (auto entry = m_segments.begin(); entry != m_segments.end();) {
        if (references.contains(entry->reference)) {
            ++entry;
            continue;
        }
        removed.append({entry->reference, entry->revision});
        entry = m_segments.erase(entry);
    }
    return removed;
}

std::optional<Claim> SealedClaims::find(const QByteArray &claimKey) const
{
    for (const Segment &segment : m_segments) {
        const auto found = segment.claims.constFind(claimKey);
        if (found != segment.claims.constEnd())
            return *found;
    }
    return std::nullopt;
}

} // namespace cranberry
