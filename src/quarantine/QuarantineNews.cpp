#include "quarantine/QuarantineNews.h"

#include <QCborArray>

namespace cranberry {

namespace {

constexpr qsizetype FingerprintBytes = 16;
constexpr qsizetype MaxNameLength = 255;
/// One week. Limits the time for which a message of another daemon can block a request.
constexpr qint64 MaxRemainingMs = 604'800'000;

/// Keys of the encoding; the numbers are part of the wire format.
enum NewsKey {
    NewsKindKey = 1,
    NewsFingerprints = 2,
    NewsWorkspace = 3,
    NewsLeft = 4,
    NewsTarget = 5,
};

} // namespace

QCborMap quarantineNewsToCbor(const QuarantineNews &news)
{
    QCborArray fingerprints;
    for (const RequestFingerprint &fingerprint : news.fingerprints)
        fingerprints.append(QByteArray::fromHex(fingerprint.text().toLatin1()));
    QCborMap body{{NewsKindKey, int(news.kind)},
                  {NewsFingerprints, fingerprints},
                  {NewsWorkspace, news.workspace.text()},
                  {NewsLeft, qint64(news.remaining.count())}};
    if (!news.target.isEmpty())
        body.insert(NewsTarget, news.target.text());
    return body;
}

std::optional<QuarantineNews> quarantineNewsFromCbor(const QCborMap &body)
{
    const qint64 kind = body.value(NewsKindKey).toInteger(0);
    const QCborArray fingerprints = body.value(NewsFingerprints).toArray();
    const QString workspace = body.value(NewsWorkspace).toString();
    const QString target = body.value(NewsTarget).toString();
    const qint64 remaining = body.value(NewsLeft).toInteger(-1);
    if (kind < qint64(QuarantineNewsKind::Suspects)
        || kind > qint64(QuarantineNewsKind::ProbationReserved) || fingerprints.isEmpty()
        || fingerprints.size() > MaxFingerprintsPerNews || workspace.size() > MaxNameLength
        || target.size() > MaxNameLength || remaining < 0 || remaining > MaxRemainingMs)
        return std::nullopt;
    QuarantineNews news;
    news.kind = QuarantineNewsKind(kind);
    news.workspace = WorkspaceId(workspace);
    news.remaining = Milliseconds(remaining);
    news.target = TargetId(target);
    for (const auto &fingerprint : fingerprints) {
        const QByteArray bytes = fingerprint.toByteArray();
        if (bytes.size() != FingerprintBytes)
            return std::nullopt;
        news.fingerprints.append(RequestFingerprint(QString::fromLatin1(bytes.toHex())));
    }
    return news;
}

} // namespace cranberry
