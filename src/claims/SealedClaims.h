// Defines SealedClaims, what a daemon knows of the sealed segments of a shard.
#pragma once

#include "claims/ClaimSegment.h"

#include <QHash>
#include <QMap>

namespace cranberry {

/// Sealed segments never change, so what was read once stays known.
/// Thread safety: a value type; distinct objects may be used from distinct threads.
class SealedClaims
{
public:
    void insert(const SealedSegment &sealed, Revision revision, const ClaimSegment &segment);

    /// Those of @p named that are not known yet.
    QList<SealedSegment> missing(const QList<SealedSegment> &named) const;

    /// Forgets all but @p named. Returns the forgotten with their revisions.
    QList<QPair<SealedSegment, Revision>> keepOnly(const QList<SealedSegment> &named);

    std::optional<Claim> find(const QByteArray &claimKey) const;

private:
    struct Segment {
        SealedSegment place;
        Revision revision;
        QHash<QByteArray, Claim> claims;
    };

    /// By the revision of the sealed head, which is unique in a shard.
    QMap<qint64, Segment> m_segments;
};

} // namespace cranberry
