#include "relay/TargetLimits.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "relay/AnswerHead.h"

#include <algorithm>

namespace cranberry {

namespace {

/// Each name is logged once; targets that send random names must not fill the log.
constexpr qsizetype MaxUnknownHeaders = 100;
constexpr qsizetype MaxLoggedText = 60;

QString textOf(const std::optional<double> &perSecond)
{
    return perSecond ? QString::number(*perSecond) : QStringLiteral("none");
}

} // namespace

TargetLimits::TargetLimits(TimerService &timers)
    : m_timers(timers)
{
}

TargetLimits::~TargetLimits() = default;

qsizetype TargetLimits::limitedTargets() const
{
    return std::count_if(m_evidence.cbegin(), m_evidence.cend(),
                         [](const RateEvidence &known) { return known.perSecond.has_value(); });
}

void TargetLimits::recordAnswer(const TargetId &target, const AnswerHead &head, MonotonicTime asked)
{
    logUnknownHeaders(target, head);
    // Another target answered, which says nothing about this one.
    if (head.isMisdirected)
        return;
    if (!head.unreadableLimit.isEmpty()) {
        logEvent(LogLevel::Warning, EventId::TargetLimitUnreadable,
                 {{"target", target.text()},
                  {"value", QString::fromLatin1(head.unreadableLimit.left(MaxLoggedText))}});
        return;
    }
    // An answer that a target did not complete or seal may have lost the header.
    const bool isOfTarget = head.isSealed && !head.isUnusable;
    if (head.requestsPerSecond || isOfTarget)
        merge(target, {head.requestsPerSecond, asked, m_timers.now()});
}

void TargetLimits::merge(const TargetId &target, const RateEvidence &news)
{
    const auto known = m_evidence.find(target);
    if (known == m_evidence.end() && !news.perSecond)
        return;
    const RateEvidence before = known == m_evidence.end() ? RateEvidence() : *known;
    const RateEvidence merged = mergeEvidence(before, news);
    m_evidence.insert(target, merged);
    if (merged.perSecond == before.perSecond)
        return;
    const auto age = std::chrono::duration_cast<Milliseconds>(m_timers.now() - news.asked);
    logEvent(LogLevel::Info, merged.perSecond ? EventId::TargetLimited : EventId::TargetLimitEnded,
             {{"target", target.text()},
              {"per_second", textOf(merged.perSecond)},
              {"before", textOf(before.perSecond)},
              {"by", QStringLiteral("answer")},
              {"age_ms", QString::number(age.count())}});
}

void TargetLimits::logUnknownHeaders(const TargetId &target, const AnswerHead &head)
{
    for (const QByteArray &name : head.unknownHeaders) {
        const QByteArray key = name.toLower();
        if (m_unknownHeaders.size() >= MaxUnknownHeaders || m_unknownHeaders.contains(key))
            continue;
        m_unknownHeaders.insert(key);
        logEvent(
            LogLevel::Warning, EventId::AnswerHeaderUnknown,
            {{"target", target.text()}, {"header", QString::fromLatin1(key.left(MaxLoggedText))}});
    }
}

} // namespace cranberry
