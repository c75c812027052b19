#pragma once

#include "base/Units.h"
#include "delivery/GenerationRequest.h"
#include "delivery/GenerationRun.h"

#include <QByteArray>
#include <QHash>

#include <list>
#include <memory>
#include <unordered_map>

namespace cranberry {

class AnswerSink;
class TimerService;
class TimerSubscription;
struct DeliveryContext;

/// Bounds on at-most-once runs that are retained for requests that repeat their key.
struct RunRetention {
    /// Time for which a finished run is retained.
    Milliseconds finishedDuration{60'000};
    /// Limit on the event data of all retained runs; the oldest run is evicted first.
    Bytes maxBytes{32 * 1024 * 1024};
    /// Time for which an at-most-once run continues after its last caller has disconnected.
    Milliseconds abandonedTimeout{30'000};
};

/// Owns the runs of this daemon from their start to the end of their retention and finds
/// at-most-once runs by claim key.
/// Thread safety: only from the event loop thread.
class RunRegistry
{
public:
    RunRegistry(DeliveryContext &context, RunRetention retention);
    ~RunRegistry();
    RunRegistry(const RunRegistry &) = delete;
    RunRegistry &operator=(const RunRegistry &) = delete;

    /// Starts a run that delivers to @p sink.
    std::shared_ptr<GenerationRun> start(GenerationRequest request,
                                         const std::shared_ptr<AnswerSink> &sink,
                                         GenerationRun::ClaimHeldCallback onClaimHeld);

    /// The running or retained run with @p claimKey; null if this daemon has none.
    std::shared_ptr<GenerationRun> findByClaim(const QByteArray &claimKey) const;

    /// Number of runs that have not ended.
    int running() const { return int(m_running.size()); }

    /// Sets a callback that is called whenever the last run has ended.
    void onIdle(std::function<void()> callback) { m_onIdle = std::move(callback); }

private:
    struct RetainedRun {
        std::shared_ptr<GenerationRun> run;
        MonotonicTime expiry;
    };

    void runEnded(GenerationRun &run);
    void retain(const std::shared_ptr<GenerationRun> &run);
    void evictOldest();
    void sweep();

    DeliveryContext &m_context;
    const RunRetention m_retention;
    std::unordered_map<const GenerationRun *, std::shared_ptr<GenerationRun>> m_running;
    QHash<QByteArray, std::shared_ptr<GenerationRun>> m_runsByClaim;
    std::list<RetainedRun> m_retained;
    qint64 m_retainedBytes = 0;
    std::unordered_map<const GenerationRun *, MonotonicTime> m_abandonedSince;
    std::unique_ptr<TimerSubscription> m_sweepTimer;
    std::function<void()> m_onIdle;
};

} // namespace cranberry
