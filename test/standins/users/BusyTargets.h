// Defines BusyTargets, targets that serve a few requests at a time and queue a few more.
#pragma once

#include "standins/users/RunnerEmulator.h"
#include "support/PlatformSite.h"

#include <QList>
#include <QObject>

#include <functional>
#include <memory>
#include <vector>

namespace cranberry::standin {

struct BusyTargetPlan {
    int slotCount = 4;
    /// Requests that wait at the target; it rejects what comes beyond.
    int queue = 8;
    /// Time of a plain request at a target of speed 1.
    Milliseconds service{160};
    /// Events of a generation, and the time of one at a target of speed 1.
    int events = 16;
    Milliseconds interval{20};
};

/// Targets of one service, each with a speed.
/// Thread safety: only from the thread of the event loop.
class BusyTargets
{
public:
    BusyTargets(test::PlatformSite &site, QByteArray service, const BusyTargetPlan &plan);
    ~BusyTargets();

    void add(double speed);
    /// @p callback is called for each request whose answer is begun.
    void onServed(std::function<void(const HttpRequest &)> callback)
    {
        m_onServed = std::move(callback);
    }
    /// Requests that all targets together can serve in a second.
    double capacity() const;
    /// Requests whose answers were begun.
    int served() const { return m_served; }
    /// Requests that a target rejected.
    int rejected() const { return m_rejected; }

private:
    struct Request {
        HttpRequest request;
        RunnerEmulator::Reply reply;
    };
    struct Target {
        RunnerEmulator *runner = nullptr;
        double speed = 1;
        int running = 0;
        QList<Request> queue;
    };

    bool handle(Target &target, const HttpRequest &request, const RunnerEmulator::Reply &reply);
    void begin(Target &target, const Request &request);

    test::PlatformSite &m_site;
    const QByteArray m_service;
    const BusyTargetPlan m_plan;
    QObject m_timerContext;
    std::function<void(const HttpRequest &)> m_onServed = [](const HttpRequest &) {};
    int m_served = 0;
    int m_rejected = 0;
    std::vector<std::unique_ptr<Target>> m_targets;
};

} // namespace cranberry::standin
