#pragma once

#include "base/Ids.h"
#include "relay/BrittleShare.h"

#include <QSet>

#include <functional>
#include <map>

namespace cranberry {

class TargetDirectory;
class TimerService;
struct AnswerHead;
struct FleetPosition;
struct TargetRecord;

/// The services whose targets say that they are brittle, and this daemon's part of their room.
/// Thread safety: only from the thread of the event loop.
class BrittleServices
{
public:
    /// Precondition: everything passed outlives the object.
    BrittleServices(TimerService &timers, const TargetDirectory &targets,
                    std::function<FleetPosition()> position);

    /// Records the head of an answer of @p target to a request that was sent at @p asked.
    void recordAnswer(const TargetId &target, const AnswerHead &head, MonotonicTime asked);
    bool isBrittle(const ServiceId &service) const;
    /// The targets of @p service at which this daemon has used its part of the room; none if the
    /// service is not brittle.
    QSet<TargetId> withoutRoom(const ServiceId &service) const;
    /// False if the service is brittle, and there are more daemons than slots so that this one has
    /// no part of the room.
    bool hasPart(const ServiceId &service) const;

private:
    QSet<TargetId> withoutRoom(const QList<const TargetRecord *> &targets) const;

    TimerService &m_timers;
    const TargetDirectory &m_targets;
    std::function<FleetPosition()> m_position;
    std::map<ServiceId, BrittleEvidence> m_services;
};

} // namespace cranberry
