#include "delivery/RunRegistry.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "delivery/DeliveryContext.h"

#include <vector>

namespace cranberry {

namespace {

constexpr Milliseconds SweepInterval{1000};

} // namespace

RunRegistry::RunRegistry(DeliveryContext &context, RunRetention retention)
    : m_context(context)
    , m_retention(retention)
    , m_sweepTimer(context.timers.every(SweepInterval, [this] { sweep(); }))
{
}

RunRegistry::~RunRegistry() = default;

std::shared_ptr<GenerationRun> RunRegistry::start(GenerationRequest request,
                                                  const std::shared_ptr<AnswerSink> &sink,
                                                  GenerationRun::ClaimHeldCallback onClaimHeld)
{
    auto run = std::make_shared<GenerationRun>(
        m_context, std::move(request), [this](GenerationRun &ended) { runEnded(ended); },
        std::move(onClaimHeld));
    m_running.emplace(run.get(), run);
    if (run->request().atMostOnce)
        m_runsByClaim.insert(run->request().claimKey, run);
    run->attach(sink);
    run->start();
    return run;
}

std::shared_ptr<GenerationRun> RunRegistry::findByClaim(const QByteArray &claimKey) const
{
    return m_runsByClaim.value(claimKey);
}

void RunRegistry::runEnded(GenerationRun &run)
{
    const auto found = m_running.find(&run);
    if (found == m_running.end())
        return;
    const std::shared_ptr<GenerationRun> ended = found->second;
    m_running.erase(found);
    m_abandonedSince.erase(&run);
    if (run.request().atMostOnce)
        retain(ended);
    if (m_running.empty() && m_onIdle)
        m_onIdle();
}

void RunRegistry::retain(const std::shared_ptr<GenerationRun> &run)
{
    // A request that did not run may be sent again like a new one. A run that ended because
    // another request holds its key has no answer that could be replayed.
    const bool isReplayable = run->failure() ? run->failure()->ran != Ran::No : run->isComplete();
    if (!isReplayable) {
        m_runsByClaim.remove(run->request().claimKey);
        return;
    }
    m_retainedBytes += run->bufferedBytes();
    m_retained.push_back({run, m_context.timers.now() + m_retention.finishedDuration});
    while (m_retainedBytes > m_retention.maxBytes.value() && !m_retained.empty())
        evictOldest();
}

void RunRegistry::evictOldest()
{
    const std::shared_ptr<GenerationRun> run = m_retained.front().run;
    m_retained.pop_front();
    m_retainedBytes -= run->bufferedBytes();
    if (m_runsByClaim.value(run->request().claimKey) == run)
        m_runsByClaim.remove(run->request().claimKey);
}

void RunRegistry::sweep()
{
    const MonotonicTime now = m_context.timers.now();
    while (!m_retained.empty() && m_retained.front().expiry <= now)
        evictOldest();
    std::vector<std::shared_ptr<GenerationRun>> abandonedRuns;
    for (const auto &[key, run] : m_running) {
        if (run->hasSinks()) {
            m_abandonedSince.erase(key);
            continue;
        }
        const MonotonicTime since = m_abandonedSince.emplace(key, now).first->second;
        if (now - since >= m_retention.abandonedTimeout)
            abandonedRuns.push_back(run);
    }
    for (const std::shared_ptr<GenerationRun> &run : abandonedRuns)
        run->cancelIfAbandoned();
}

} // namespace cranberry
