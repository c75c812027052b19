// Defines LoadRun, which sends the requests of a plan at their times.
#pragma once

#include "http/HttpClient.h"
#include "load/LoadTargets.h"
#include "load/RequestResult.h"
#include "load/TrafficMix.h"

#include <QEventLoop>

#include <memory>
#include <vector>

namespace cranberry::load {

struct LoadMetrics;

/// An open loop: arrivals do not wait for answers.
/// Thread safety: only from one thread with an event loop.
class LoadRun
{
public:
    /// @p nonce makes the idempotency keys of this run unlike those of any other.
    /// Precondition: the references outlive the run.
    LoadRun(TimerService &timers, HttpClient &client, const LoadTargets &targets,
            const TrafficMix &mix, QList<PlannedRequest> plan, QByteArray nonce);
    ~LoadRun();
    LoadRun(const LoadRun &) = delete;
    LoadRun &operator=(const LoadRun &) = delete;

    /// Sends everything and returns when all is answered, or @p patience after the last
    /// arrival. May be called once.
    void run(Milliseconds patience);

    /// The results, in the order of the plan. Precondition: run() has returned.
    const std::vector<RequestResult> &results() const { return m_results; }

    /// Adds how late requests were sent to @p metrics.
    void recordLag(LoadMetrics &metrics) const;

private:
    void sendDue();
    void send(std::size_t index, int trial);
    void finished(std::size_t index, int trial, HttpExchangeEnd end);
    HttpRequest requestFor(const PlannedRequest &planned, std::size_t index) const;

    TimerService &m_timers;
    HttpClient &m_client;
    const LoadTargets &m_targets;
    const TrafficMix &m_mix;
    const QList<PlannedRequest> m_plan;
    const QByteArray m_nonce;
    MonotonicTime m_start;
    std::size_t m_next = 0;
    int m_underWay = 0;
    std::vector<RequestResult> m_results;
    std::vector<std::unique_ptr<HttpExchange>> m_exchanges;
    std::vector<double> m_lags;
    std::unique_ptr<TimerSubscription> m_arrival;
    std::unique_ptr<TimerSubscription> m_patience;
    QEventLoop m_loop;
};

} // namespace cranberry::load
