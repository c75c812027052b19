#pragma once

#include "base/Ids.h"
#include "relay/RateEvidence.h"
#include "relay/RatePermits.h"

#include <QCborArray>
#include <QList>

#include <optional>

namespace cranberry {

/// Messages between daemons about rate limits of targets; the number is the first element.
enum class LimitMessageKind {
    /// What a daemon knows of some targets.
    News,
    /// A daemon that has just started asks for News.
    Query,
    /// A daemon asks the owner of a target for permits.
    Ask,
    /// The answer to an Ask.
    Grant,
};

/// Maximum number of targets in one News message: with about 60 bytes each it fits a datagram.
constexpr qsizetype MaxTargetsPerNews = 20;
/// Assumed maximum delay of a message between daemons. The end of a limit that another daemon
/// reports counts as this much older than it says.
constexpr Milliseconds MaxNewsDelay{500};

/// What one daemon knows of a target's rate limit.
struct LimitNews {
    TargetId target;
    RateEvidence evidence;
};

/// A request for permits.
struct PermitAsk {
    LimitNews news;
    int number = 0;
    int wanted = 0;
    /// Requests sent without a permit since the last ask that was answered.
    int unreported = 0;
};

/// The answer to an ask.
struct PermitAnswer {
    TargetId target;
    int number = 0;
    PermitGrant grant;
};

/// The kind of @p body; unset if it is none. Thread-safe.
std::optional<LimitMessageKind> limitMessageKind(const QCborArray &body);

/// Encode messages that are sent at @p now. Times are sent as ages, as clocks of VMs differ.
/// Thread-safe.
QCborArray encodeNews(const QList<LimitNews> &news, MonotonicTime now);
QCborArray encodeQuery();
QCborArray encodeAsk(const PermitAsk &ask, MonotonicTime now);
QCborArray encodeAnswer(const PermitAnswer &answer);

/// Decode messages that arrived at @p now; malformed rows are left out. Thread-safe.
QList<LimitNews> decodeNews(const QCborArray &body, MonotonicTime now);
std::optional<PermitAsk> decodeAsk(const QCborArray &body, MonotonicTime now);
std::optional<PermitAnswer> decodeAnswer(const QCborArray &body);

} // namespace cranberry
