// Defines RunRegistry, the runs of this daemon, by claim key where they have one.
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

/// Bounds on what is kept of finished at-most-once runs for senders that come again.
struct RunRetention {
    Milliseconds finishedDuration{60'000};
    Bytes maxBytes{32 * 1024 * 1024};
    /// Time for which an at-most-once run goes on after its caller has left.
    Milliseconds abandonedTimeout{30'000};
};

/// Owns runs from their start to the end of their retention.
/// Thread safety: only from the thread of the event loop.
class RunRegistry
{
public:
    RunRegistry(DeliveryContext &context, RunRetention retention);
    ~RunRegistry();
    RunRegistry(const RunRegistry &) = delete;
    RunRegistry &operator=(const RunRegistry &) = delete;

    /// Starts a run with one sink.
    std::shared_ptr<GenerationRun> start(GenerationRequest request,
                                         const std::shared_ptr<AnswerSink> &sink,
                                         GenerationRun::ClaimHeldCallback onClaimHeld);

    /// The run that holds @p claimKey here, running or lately finished; null if there is none.
    std::shared_ptr<GenerationRun> findByClaim(const QByteArray &claimKey) const;

    /// Runs that are not over.
    int running() const { return int(m_running.size()); }

    /// @p callback is called whenever no run is left.
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
