#include "relay/ServiceDurations.h"

#include "relay/RelayRequest.h"
#include "relay/RelayRoute.h"
#include "relay/ShutdownPlan.h"

#include <algorithm>

namespace cranberry {

namespace {

/// The distance to lower values shrinks by a factor e over this many of them.
constexpr double BoundSamples = 64;
/// Time per token of an engine that runs many generations.
constexpr double UsualMsPerToken = 10;

void raise(std::optional<double> &bound, double value)
{
    if (!bound || value > *bound)
        bound = value;
    else
        *bound -= (*bound - value) / BoundSamples;
}

} // namespace

void ServiceDurations::recordAnswer(const ServiceId &service, Milliseconds time)
{
    raise(m_services[service].toAnswer, double(time.count()));
}

void ServiceDurations::recordPace(const ServiceId &service, double msPerToken)
{
    raise(m_services[service].msPerToken, msPerToken);
}

std::optional<Milliseconds> ServiceDurations::toAnswer(const ServiceId &service) const
{
    const auto known = m_services.find(service);
    if (known == m_services.end() || !known->second.toAnswer)
        return std::nullopt;
    return Milliseconds(qint64(*known->second.toAnswer));
}

std::optional<double> ServiceDurations::msPerToken(const ServiceId &service) const
{
    const auto known = m_services.find(service);
    return known == m_services.end() ? std::nullopt : known->second.msPerToken;
}

DurationEstimate ServiceDurations::estimate(const ServiceId &service, const RelayRoute &route,
                                            const RelayRequest &request,
                                            Milliseconds timeLeft) const
{
    DurationEstimate estimate;
    estimate.objective = route.objective;
    estimate.timeLeft = timeLeft;
    estimate.observed = toAnswer(service);
    if (route.kind == RequestKind::Stream) {
        // The limit and not the expected output, as a stream that is cut is lost.
        estimate.output = request.maxOutput;
        estimate.msPerToken = std::max(UsualMsPerToken, msPerToken(service).value_or(0));
    }
    return estimate;
}

} // namespace cranberry
