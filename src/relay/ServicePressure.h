#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <functional>
#include <map>

namespace cranberry {

class TimerService;

/// Which plain services have too little room. While a service is pressed, daemons exchange the load
/// of its targets and keep what they send within the slots. Otherwise this would cost a message for
/// each request and decide nothing.
/// Thread safety: only from the thread of the event loop.
class ServicePressure
{
public:
    struct Counters {
        qint64 pressed = 0;
    };

    /// Precondition: @p timers outlives the object.
    explicit ServicePressure(TimerService &timers);

    /// Records that a target of @p service rejected a request for lack of room.
    void recordRejection(const ServiceId &service);
    /// Records that a request was answered after @p time at its target.
    void recordAnswer(const ServiceId &service, Milliseconds time, Milliseconds objective);
    /// Records that requests for @p service wait, here or at another daemon.
    void recordDemand(const ServiceId &service);

    bool isPressed(const ServiceId &service) const;
    /// The services that are pressed now.
    int pressed() const;
    /// Mean time at the targets of @p service; zero until one is known.
    Milliseconds meanTime(const ServiceId &service) const;
    /// Called when a service becomes pressed.
    void onPressed(std::function<void(const ServiceId &)> callback)
    {
        m_onPressed = std::move(callback);
    }
    const Counters &counters() const { return m_counters; }

private:
    struct Service {
        MonotonicTime pressedUntil;
        bool isPressed = false;
        /// Decayed mean over the last eight answers or so, and the lowest of these means, in ms.
        double mean = 0;
        double lowestMean = 0;
        int answers = 0;
    };

    void press(const ServiceId &id, const char *reason);

    TimerService &m_timers;
    std::map<ServiceId, Service> m_services;
    std::function<void(const ServiceId &)> m_onPressed = [](const ServiceId &) {};
    Counters m_counters;
};

} // namespace cranberry
