#pragma once

#include "claims/ClaimSegment.h"

#include <QHash>
#include <QMap>

namespace cranberry {

/// A daemon's cache of the sealed segments of a shard.
/// Sealed segments are immutable, so cached ones are never read again.
/// Thread safety: a value type; distinct objects may be used from distinct threads.
class SealedClaims
{
public:
    void insert(const SealedSegment &sealed, Revision revision, const ClaimSegment &segment);

    /// Those of @p references that are not in the cache.
    QList<SealedSegment> findMissing(const QList<SealedSegment> &references) const;

    /// Removes all segments but @p references from the cache. Returns the removed ones with their
    /// revisions.
    QList<QPair<SealedSegment, Revision>> retainOnly(const QList<SealedSegment> &references);

    std::optional<Claim> find(const QByteArray &claimKey) const;

private:
    struct Segment {
        SealedSegment reference;
        Revision revision;
        QHash<QByteArray, Claim> claims;
    };

    /// By the revision of the head that was sealed, which is unique in a shard.
    QMap<qint64, Segment> m_segments;
};

} // namespace cranberry
