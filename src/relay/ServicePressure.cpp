#include "relay/ServicePressure.h"

#include "base/EventLog.h"
#include "base/TimerService.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr Milliseconds PressureTime{2000};
/// Answers that the mean covers.
constexpr int MeanAnswers = 8;
/// Times of service vary by themselves; a queue at the targets multiplies them.
constexpr double QueueFactor = 2.5;
constexpr double MinLowestMean = 2;
/// Below this fraction of the objective a queue harms no caller.
constexpr double ObjectiveFraction = 1.0 / 3;

} // namespace

ServicePressure::ServicePressure(TimerService &timers)
    : m_timers(timers)
{
}

void ServicePressure::press(const ServiceId &id, const char *reason)
{
    Service &service = m_services[id];
    const MonotonicTime now = m_timers.now();
    const bool wasPressed = service.isPressed && now < service.pressedUntil;
    service.pressedUntil = now + PressureTime;
    service.isPressed = true;
    if (wasPressed)
        return;
    ++m_counters.pressed;
    logEvent(LogLevel::Info, EventId::AdmissionPressed,
             {{"service", id.text()},
              {"reason", QLatin1String(reason)},
              {"mean_ms", QString::number(service.mean, 'f', 1)},
              {"lowest_ms", QString::number(service.lowestMean, 'f', 1)}});
    m_onPressed(id);
}

void ServicePressure::recordRejection(const ServiceId &service)
{
    press(service, "a target rejected a request");
}

void ServicePressure::recordAnswer(const ServiceId &id, Milliseconds time, Milliseconds objective)
{
    Service &service = m_services[id];
    ++service.answers;
    const double weight = 1.0 / std::min(service.answers, MeanAnswers);
    service.mean += weight * (double(time.count()) - service.mean);
    if (service.answers < MeanAnswers)
        return;
    service.lowestMean =
        service.answers == MeanAnswers ? service.mean : std::min(service.lowestMean, service.mean);
    const bool isQueueing = service.mean > QueueFactor * std::max(service.lowestMean, MinLowestMean)
        && service.mean > ObjectiveFraction * double(objective.count());
    if (isQueueing)
        press(id, "answers take longer");
}

void ServicePressure::recordDemand(const ServiceId &service)
{
    press(service, "requests wait for room");
}

bool ServicePressure::isPressed(const ServiceId &id) const
{
    const auto service = m_services.find(id);
    return service != m_services.end() && m_timers.now() < service->second.pressedUntil;
}

int ServicePressure::pressed() const
{
    return int(std::count_if(m_services.begin(), m_services.end(), [this](const auto &entry) {
        return m_timers.now() < entry.second.pressedUntil;
    }));
}

Milliseconds ServicePressure::meanTime(const ServiceId &id) const
{
    const auto service = m_services.find(id);
    return Milliseconds(service == m_services.end() ? 0 : qint64(service->second.mean));
}

} // namespace cranberry
