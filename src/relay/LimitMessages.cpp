#include "relay/LimitMessages.h"

#include <QCborValue>

#include <algorithm>
#include <cmath>
#include <limits>

namespace cranberry {

namespace {

/// Larger counts and ages can only come from a damaged message.
constexpr qint64 MaxCount = 1000000;
constexpr qint64 MaxAgeMs = 86400000;

/// Positions in a row of news: target, limit, age of the request, age of its answer.
enum NewsField { NewsTarget, NewsLimit, NewsAskedAge, NewsAnsweredAge, NewsFieldCount };

qint64 ageMs(MonotonicTime time, MonotonicTime now)
{
    const auto age = std::chrono::duration_cast<Milliseconds>(now - time).count();
    return std::clamp<qint64>(age, 0, MaxAgeMs);
}

bool isWithin(qint64 value, qint64 max)
{
    return value >= 0 && value <= max;
}

QCborArray encodeRow(const LimitNews &news, MonotonicTime now)
{
    const RateEvidence &evidence = news.evidence;
    return {news.target.text(),
            evidence.perSecond ? QCborValue(*evidence.perSecond) : QCborValue(QCborValue::Null),
            ageMs(evidence.asked, now), ageMs(evidence.answered, now)};
}

std::optional<LimitNews> decodeRow(const QCborArray &row, MonotonicTime now)
{
    const QString target = row.at(NewsTarget).toString();
    const qint64 askedAge = row.at(NewsAskedAge).toInteger(-1);
    const qint64 answeredAge = row.at(NewsAnsweredAge).toInteger(-1);
    const QCborValue limit = row.at(NewsLimit);
    const double perSecond = limit.toDouble(-1);
    const bool isLimit = std::isfinite(perSecond) && perSecond >= 0;
    if (row.size() < NewsFieldCount || target.isEmpty() || !isWithin(askedAge, MaxAgeMs)
        || !isWithin(answeredAge, MaxAgeMs) || (!limit.isNull() && !isLimit))
        return std::nullopt;
    LimitNews news;
    news.target = TargetId(target);
    news.evidence.asked = now - Milliseconds(askedAge);
    news.evidence.answered = now - Milliseconds(answeredAge);
    if (isLimit)
        news.evidence.perSecond = perSecond;
    else
        news.evidence.asked -= MaxNewsDelay;
    return news;
}

} // namespace

std::optional<LimitMessageKind> limitMessageKind(const QCborArray &body)
{
    const qint64 kind = body.at(0).toInteger(-1);
    if (!isWithin(kind, qint64(LimitMessageKind::Grant)))
        return std::nullopt;
    return LimitMessageKind(kind);
}

QCborArray encodeNews(const QList<LimitNews> &news, MonotonicTime now)
{
    QCborArray rows;
    for (const LimitNews &row : news)
        rows.append(encodeRow(row, now));
    return {int(LimitMessageKind::News), rows};
}

QCborArray encodeQuery()
{
    return {int(LimitMessageKind::Query)};
}

QCborArray encodeAsk(const PermitAsk &ask, MonotonicTime now)
{
    return {int(LimitMessageKind::Ask), encodeRow(ask.news, now), ask.number, ask.wanted,
            ask.unreported};
}

QCborArray encodeAnswer(const PermitAnswer &answer)
{
    return {int(LimitMessageKind::Grant), answer.target.text(), answer.number, answer.grant.count,
            qint64(answer.grant.askAgainIn.count())};
}

QList<LimitNews> decodeNews(const QCborArray &body, MonotonicTime now)
{
    QList<LimitNews> news;
    for (const QCborValue row : body.at(1).toArray()) {
        if (const auto decoded = decodeRow(row.toArray(), now))
            news.append(*decoded);
    }
    return news;
}

std::optional<PermitAsk> decodeAsk(const QCborArray &body, MonotonicTime now)
{
    const auto news = decodeRow(body.at(1).toArray(), now);
    const qint64 number = body.at(2).toInteger(-1);
    const qint64 wanted = body.at(3).toInteger(-1);
    const qint64 unreported = body.at(4).toInteger(-1);
    if (!news || !isWithin(number, std::numeric_limits<int>::max()) || !isWithin(wanted, MaxCount)
        || !isWithin(unreported, MaxCount))
        return std::nullopt;
    return PermitAsk{*news, int(number), int(wanted), int(unreported)};
}

std::optional<PermitAnswer> decodeAnswer(const QCborArray &body)
{
    const QString target = body.at(1).toString();
    const qint64 number = body.at(2).toInteger(-1);
    const qint64 count = body.at(3).toInteger(-1);
    const qint64 askAgainMs = body.at(4).toInteger(-1);
    if (target.isEmpty() || !isWithin(number, std::numeric_limits<int>::max())
        || !isWithin(count, MaxPermitsPerGrant) || !isWithin(askAgainMs, MaxAskDelay.count()))
        return std::nullopt;
    return PermitAnswer{TargetId(target), int(number), {int(count), Milliseconds(askAgainMs)}};
}

} // namespace cranberry
