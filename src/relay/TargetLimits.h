#pragma once

#include "base/Ids.h"
#include "relay/RateEvidence.h"

#include <QHash>
#include <QSet>

namespace cranberry {

class TimerService;
struct AnswerHead;

/// The rate limits that targets name in their answers.
/// Thread safety: only from the thread of the event loop.
class TargetLimits
{
public:
    /// Precondition: @p timers outlives the object.
    explicit TargetLimits(TimerService &timers);
    ~TargetLimits();

    /// Records the head of an answer of @p target to a request that was sent at @p asked.
    void recordAnswer(const TargetId &target, const AnswerHead &head, MonotonicTime asked);
    /// The number of targets that name a limit.
    qsizetype limitedTargets() const;

private:
    void merge(const TargetId &target, const RateEvidence &news);
    void logUnknownHeaders(const TargetId &target, const AnswerHead &head);

    TimerService &m_timers;
    QHash<TargetId, RateEvidence> m_evidence;
    QSet<QByteArray> m_unknownHeaders;
};

} // namespace cranberry
