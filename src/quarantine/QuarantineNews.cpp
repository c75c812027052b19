#include "quarantine/QuarantineNews.h"

#include <QCborArray>

namespace cranberry {

namespace {

constexpr qsizetype FingerprintBytes = 16;
constexpr qsizetype LongestName = 255;
/// A week: what another daemon says never holds a request back for longer.
constexpr qint64 LongestLeft = 604'800'000;

/// Each number is a wire value.
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
                  {NewsLeft, qint64(news.left.count())}};
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
    const qint64 left = body.value(NewsLeft).toInteger(-1);
    if (kind < qint64(QuarantineNewsKind::Suspects)
        || kind > qint64(QuarantineNewsKind::ProbationReserved) || fingerprints.isEmpty()
        || fingerprints.size() > MostFingerprintsOfNews || workspace.size() > LongestName
        || target.size() > LongestName || left < 0 || left > LongestLeft)
        return std::nullopt;
    QuarantineNews news;
    news.kind = QuarantineNewsKind(kind);
    news.workspace = WorkspaceId(workspace);
    news.left = Milliseconds(left);
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
