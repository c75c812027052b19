#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <map>
#include <optional>

namespace cranberry {

struct DurationEstimate;
struct RelayRequest;
struct RelayRoute;

/// Upper bounds of how long the targets of each service took recently. A bound rises to each longer
/// time at once and falls slowly, so that few requests exceed it.
/// Thread safety: only from the thread of the event loop.
class ServiceDurations
{
public:
    /// Records that a target of @p service answered, or sent the first event, @p time after the
    /// request was sent.
    void recordAnswer(const ServiceId &service, Milliseconds time);
    /// Records the mean time per token of a stream of @p service.
    void recordPace(const ServiceId &service, double msPerToken);

    /// Unset until an answer was recorded.
    std::optional<Milliseconds> toAnswer(const ServiceId &service) const;
    std::optional<double> msPerToken(const ServiceId &service) const;

    /// What is known of the time that @p request on @p route will take at @p service.
    DurationEstimate estimate(const ServiceId &service, const RelayRoute &route,
                              const RelayRequest &request, Milliseconds timeLeft) const;

private:
    struct Bounds {
        std::optional<double> toAnswer;
        std::optional<double> msPerToken;
    };

    std::map<ServiceId, Bounds> m_services;
};

} // namespace cranberry
