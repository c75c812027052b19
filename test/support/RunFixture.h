// Defines RunFixture, the components that requests use, without a network and with a clock that
// tests advance.
#pragma once

#include "http/CallerMemory.h"
#include "http/CallerReply.h"
#include "http/HttpClient.h"
#include "relay/BrittleServices.h"
#include "relay/CrashGuard.h"
#include "relay/DataCentreHeads.h"
#include "relay/EngineReports.h"
#include "relay/FleetAdmission.h"
#include "relay/GenerationStops.h"
#include "relay/OutputForecast.h"
#include "relay/PeerDatagrams.h"
#include "relay/PeerDirectory.h"
#include "relay/PeerForwarding.h"
#include "relay/ReachMonitor.h"
#include "relay/RelayContext.h"
#include "relay/RelayGateway.h"
#include "relay/RelayRun.h"
#include "relay/RoomForecast.h"
#include "relay/ServiceDurations.h"
#include "relay/ServicePressure.h"
#include "relay/ShutdownPlan.h"
#include "relay/StoreProtocol.h"
#include "relay/TargetAnnouncements.h"
#include "relay/TargetAvailability.h"
#include "relay/TargetClient.h"
#include "relay/TargetDirectory.h"
#include "relay/TargetLimits.h"
#include "relay/TargetSpeeds.h"
#include "relay/WaitingRequests.h"
#include "support/EventLoop.h"
#include "support/ManualTimers.h"

#include <chrono>

namespace cranberry::test {

/// A timer service whose clock advances by a fixed step with each reading.
class AdvancingTimers final : public TimerService
{
public:
    MonotonicTime now() const override
    {
        m_passed += m_step;
        return m_timers.now() + m_passed;
    }
    std::unique_ptr<TimerSubscription> every(Milliseconds interval, Callback callback) override
    {
        return m_timers.every(interval, std::move(callback));
    }
    std::unique_ptr<TimerSubscription> after(Milliseconds delay, Callback callback) override
    {
        return m_timers.after(delay, std::move(callback));
    }

    void advance(Milliseconds duration) { m_timers.advance(duration); }
    void setStep(std::chrono::nanoseconds step) { m_step = step; }

private:
    ManualTimers m_timers;
    mutable std::chrono::nanoseconds m_passed{0};
    std::chrono::nanoseconds m_step{0};
};

/// The components that requests use, without a network.
struct RunFixture {
    RunFixture()
    {
        callerProtocol.failure = [](const Error &, std::optional<Milliseconds>) {
            return HttpResponse();
        };
        callerProtocol.requestId = [](const HttpRequest &) { return RequestId(); };
        targetProtocol.attempt = [](const RelayRequest &, const AttemptPlan &) {
            return HttpRequest();
        };
        targetProtocol.report = [] { return HttpRequest(); };
        // Without peers, a daemon holds requests until it gives up asking for their records.
        timers.advance(std::chrono::seconds(3));
    }

    /// A generation for service with the objective @p objective.
    RelayTask task(int number, Milliseconds objective, Tokens prompt, MonotonicTime arrived)
    {
        RelayTask task;
        task.request.id = RequestId(QString::number(number));
        task.request.promptTokens = prompt;
        task.request.maxOutput = Tokens(1000);
        task.request.expectedOutput = Tokens(100 + number % 3);
        task.route.name = QStringLiteral("route");
        task.route.kind = RequestKind::Stream;
        task.route.objective = objective;
        task.route.timeout = std::chrono::seconds(30);
        task.route.priority = number % 2;
        task.service = service;
        task.engine = EngineTraits();
        task.engine->memory = Tokens(1000000);
        task.engine->batchSlots = 1000;
        task.arrived = arrived;
        return task;
    }

    struct Application {
        Application() { ensureApplication(); }
    } application;
    const ServiceId service{QStringLiteral("engines")};
    AdvancingTimers timers;
    HttpClient client{timers};
    RelayCounters counters;
    CallerMemory callerMemory;
    StoreProtocol storeProtocol;
    CallerProtocol callerProtocol;
    TargetProtocol targetProtocol;
    TargetDirectory targets{timers};
    TargetAvailability availability{timers, [](const TargetId &) { return 0; }};
    TargetClient targetClient{client, targetProtocol, availability};
    TargetLimits limits{timers};
    BrittleServices brittle{timers, targets, [] { return FleetPosition(); }};
    ReachMonitor reach{timers, targetClient, targets,
                       [](const ServiceId &) { return HttpRequest(); }};
    Peer self;
    PeerDirectory peers{timers, client, {}, storeProtocol, counters, self};
    PeerDatagrams datagrams{peers};
    PeerForwarding forwarding{peers};
    DataCentreHeads heads{timers, peers, datagrams};
    TargetAnnouncements news{timers, peers, heads, datagrams, targets, [] { return true; }};
    EngineReports reports{timers, targetClient, targets, targetProtocol, counters};
    FleetAdmission admission{timers, peers, datagrams, {}};
    ServicePressure pressure{timers};
    TargetSpeeds speeds{timers, targets};
    ServiceDurations durations;
    std::optional<ShutdownPlan> shutdown;
    WaitingRequests waiting{timers, admission};
    RelayRetryBudget retryBudget{
        RetryLimits(), {}, [] { return FleetPosition(); }, [] { return 0.0; }};
    OutputForecast outputForecast;
    RoomForecast roomForecast;
    CrashGuard crashGuard{timers,
                          targetClient,
                          peers,
                          datagrams,
                          targets,
                          [](const ServiceId &, const TargetId &) { return HttpRequest(); },
                          [](const TargetId &, int, const HttpHeaders &) { return false; }};
    GenerationStops stops{timers, targetClient, targetProtocol, targets};
    RelayContext context{timers,
                         client,
                         targetClient,
                         targets,
                         availability,
                         limits,
                         brittle,
                         reach,
                         forwarding,
                         news,
                         reports,
                         admission,
                         pressure,
                         speeds,
                         durations,
                         waiting,
                         retryBudget,
                         outputForecast,
                         roomForecast,
                         crashGuard,
                         stops,
                         counters,
                         callerMemory,
                         shutdown,
                         callerProtocol,
                         targetProtocol,
                         Bytes(1024),
                         self.vm,
                         DataCentreId(QStringLiteral("hall")),
                         [] { return true; },
                         [] { return DistanceCosts(); },
                         [] { return true; }};
};

} // namespace cranberry::test
