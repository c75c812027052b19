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

/// Sends the requests of a plan at their times as an open loop: arrivals do not wait for answers.
/// Thread safety: only from one thread with an event loop.
class LoadRun
{
public:
    /// @p nonce makes the idempotency keys of this run distinct from those of other runs.
    /// Precondition: the references outlive the run.
    LoadRun(TimerService &timers, HttpClient &client, const LoadTargets &targets,
            const TrafficMix &mix, QList<PlannedRequest> plan, QByteArray nonce);
    ~LoadRun();
    LoadRun(const LoadRun &) = delete;
    LoadRun &operator=(const LoadRun &) = delete;

    /// Sends all requests, and returns when every one has ended or @p answerTimeout after the end
    /// of the arrival period, whichever is first. Runs an event loop. May be called only once.
    void run(Milliseconds answerTimeout);

    /// The results, in the order of the plan. Precondition: run() has returned.
    const std::vector<RequestResult> &results() const { return m_results; }

    /// Adds the send delays of the requests to @p metrics.
    void recordLag(LoadMetrics &metrics) const;

private:
    void sendDueRequests();
    void send(std::size_t index, int attempt);
    void handleEnd(std::size_t index, int attempt, HttpExchangeEnd end);
    HttpRequest requestFor(const PlannedRequest &planned, std::size_t index) const;

    TimerService &m_timers;
    HttpClient &m_client;
    const LoadTargets &m_targets;
    const TrafficMix &m_mix;
    const QList<PlannedRequest> m_plan;
    const QByteArray m_nonce;
    MonotonicTime m_start;
    std::size_t m_next = 0;
    int m_inFlight = 0;
    std::vector<RequestResult> m_results;
    std::vector<std::unique_ptr<HttpExchange>> m_exchanges;
    std::vector<double> m_sendLags;
    std::unique_ptr<TimerSubscription> m_arrivalTimer;
    std::unique_ptr<TimerSubscription> m_timeoutTimer;
    QEventLoop m_loop;
};

} // namespace cranberry::load
