#include "claims/SealedClaims.h"

namespace cranberry {

void SealedClaims::insert(const SealedSegment &sealed, Revision revision,
                          const ClaimSegment &segment)
{
    Segment known{sealed, revision, {}};
    for (const Claim &claim : segment.claims)
        known.claims.insert(claim.key, claim);
    m_segments.insert(sealed.headRevision.value(), known);
}

QList<SealedSegment> SealedClaims::missing(const QList<SealedSegment> &named) const
{
    QList<SealedSegment> result;
    for (const SealedSegment &sealed : named) {
        if (!m_segments.contains(sealed.headRevision.value()))
            result.append(sealed);
    }
    return result;
}

QList<QPair<SealedSegment, Revision>> SealedClaims::keepOnly(const QList<SealedSegment> &named)
{
    QList<QPair<SealedSegment, Revision>> forgotten;
    for (auto entry = m_segments.begin(); entry != m_segments.end();) {
        if (named.contains(entry->place)) {
            ++entry;
            continue;
        }
        forgotten.append({entry->place, entry->revision});
        entry = m_segments.erase(entry);
    }
    return forgotten;
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
