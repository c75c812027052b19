#pragma once

#include "base/QtTimerService.h"
#include "soak/AbandonedStreams.h"
#include "soak/CompetingLoad.h"
#include "soak/FaultProxy.h"
#include "soak/SoakOptions.h"
#include "standins/users/CloseDelimitedProxy.h"
#include "standins/users/CrashingTargets.h"
#include "standins/users/LimitChecks.h"
#include "standins/users/PartitionProxy.h"
#include "standins/users/PauseChecks.h"
#include "standins/users/PromiseChecks.h"
#include "standins/users/RetryChecks.h"
#include "support/PlatformSite.h"

#include <map>
#include <memory>
#include <random>
#include <utility>
#include <vector>

namespace cranberry::soak {

/// One seeded soak run. Starts daemons as processes, sends client requests throughout, and injects
/// overlapping faults into links, runners, the store and the daemon processes. Signals only
/// processes that it started.
/// Thread safety: only from its own thread.
class SoakRun
{
public:
    explicit SoakRun(const SoakOptions &options);
    ~SoakRun();

    /// Runs to completion and returns the checks with all violations.
    const standin::PromiseChecks &run();
    /// The checks of rate limits. Precondition: run() has returned.
    const standin::LimitChecks &limits() const { return m_limits; }
    /// A line for each service that received more repeats than allowed. Precondition: run() has
    /// returned.
    QStringList brokenBudgets() const;
    /// A line for each request, or part of prompts, that crashed targets and went on being sent.
    /// Precondition: run() has returned.
    QStringList brokenCrashBounds() const;
    /// The checks of what targets say in their answers. Precondition: run() has returned.
    const standin::PauseChecks &pauses() const { return m_pauses; }
    /// The checks of generations that continue at another target. Precondition: run() has returned.
    const standin::OverlapChecks &overlaps() const { return m_abandoned->overlaps(); }
    /// The checks of callers that compete for room. Precondition: run() has returned.
    const CompetingLoad &competing() const { return *m_competing; }
    /// Targets that harmful requests crashed, and the requests.
    int crashedTargets() const { return m_fragile.crashed(); }
    int harmfulRequests() const { return m_harmfulBodies; }

private:
    struct PendingRequest {
        QByteArray id;
        std::shared_ptr<test::ClientCall> call;
        int daemon = 0;
        bool hasEnoughEvents = false;
    };

    /// A random number from 0 to @p bound - 1.
    int randomBelow(int bound) { return int(m_random() % quint32(bound)); }
    void addEngine();
    void sendRequest();
    void collectAnswers();
    void injectFault();
    void injectDaemonFault();
    void injectStoreFault();
    void injectEngineFault();
    /// Some daemons are partitioned from all targets, or none.
    void changePartition();
    /// Puts a proxy before a target that is reached at @p endpoint.
    standin::PartitionProxy &addPartitionProxy(const HttpEndpoint &endpoint);
    /// A target names a rate limit, another one, or none.
    void changeLimit();
    /// A target begins to ask daemons for pauses, or stops.
    void changePauses();
    /// Answers the request with a rejection if its target wants none now.
    bool rejectForPause(const QByteArray &target, const HttpRequest &request,
                        const standin::RunnerEmulator::Reply &reply);
    /// @p daemon may not have read what targets said to it.
    void disturbed(int daemon);
    void recordRun(const QByteArray &target, const HttpRequest &request);
    /// All targets of a service begin to refuse requests, or stop.
    void changeRefusals();
    /// Sends a request that crashes its targets, or an ordinary one to the same service.
    void sendFragile();
    /// Counts a request that a target receives; refuses it if its service does so now.
    void watchArrivals(standin::RunnerEmulator &target, bool isEngine);
    /// An engine crashes. Streams without a length are torn inside an event, or between two events
    /// by the end of its process.
    void crashEngine(std::size_t index);
    void clearFaults();

    SoakOptions m_options;
    std::mt19937 m_random;
    /// Apart from the other faults, so that a seed still injects the same ones.
    std::mt19937 m_limitRandom;
    std::mt19937 m_refusalRandom;
    std::mt19937 m_tearRandom;
    std::mt19937 m_partitionRandom;
    std::mt19937 m_pauseRandom;
    QtTimerService m_timers;
    standin::PromiseChecks m_checks;
    standin::LimitChecks m_limits;
    standin::PauseChecks m_pauses;
    /// The pauses that targets ask for now.
    std::map<QByteArray, Milliseconds> m_pausing;
    /// Until when targets reject the requests of daemons.
    std::map<std::pair<QByteArray, int>, MonotonicTime> m_pausedUntil;
    standin::RetryChecks m_engineRetries;
    standin::RetryChecks m_plainRetries;
    bool m_areEnginesRefusing = false;
    bool m_arePlainTargetsRefusing = false;
    test::PlatformSite m_site;
    std::vector<standin::RunnerEmulator *> m_engines;
    /// For each engine; null if it sends its streams in chunks.
    std::vector<std::unique_ptr<standin::CloseDelimitedProxy>> m_engineProxies;
    std::vector<standin::RunnerEmulator *> m_plainTargets;
    std::vector<std::unique_ptr<FaultProxy>> m_proxies;
    /// Before all targets.
    std::vector<std::unique_ptr<standin::PartitionProxy>> m_partitionProxies;
    /// Of each engine.
    std::vector<standin::PartitionProxy *> m_enginePartitionProxies;
    QSet<int> m_partitioned;
    standin::PartitionForm m_partitionForm = standin::PartitionForm::Hang;
    std::mt19937 m_fragileRandom;
    standin::CrashingTargets m_fragile;
    int m_harmfulBodies = 0;
    /// Begins once the daemons are ready.
    std::unique_ptr<CompetingLoad> m_competing;
    std::unique_ptr<AbandonedStreams> m_abandoned;
    std::vector<PendingRequest> m_pending;
    std::vector<bool> m_paused;
    int m_requestCount = 0;
    int m_version = 1;
};

} // namespace cranberry::soak
