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
    , m_sweep(context.timers.every(SweepInterval, [this] { sweep(); }))
{
}

RunRegistry::~RunRegistry() = default;

std::shared_ptr<GenerationRun> RunRegistry::start(GenerationRequest request,
                                                  const std::shared_ptr<AnswerSink> &sink,
                                                  GenerationRun::HeldCallback held)
{
    auto run = std::make_shared<GenerationRun>(
        m_context, std::move(request), [this](GenerationRun &ended) { runEnded(ended); },
        std::move(held));
    m_running.emplace(run.get(), run);
    if (run->request().atMostOnce)
        m_byClaim.insert(run->request().claimKey, run);
    run->attach(sink);
    run->start();
    return run;
}

std::shared_ptr<GenerationRun> RunRegistry::findByClaim(const QByteArray &claimKey) const
{
    return m_byClaim.value(claimKey);
}

void RunRegistry::runEnded(GenerationRun &run)
{
    const auto found = m_running.find(&run);
    if (found == m_running.end())
        return;
    const std::shared_ptr<GenerationRun> ended = found->second;
    m_running.erase(found);
    m_abandoned.erase(&run);
    if (run.request().atMostOnce)
        keep(ended);
    if (m_running.empty() && m_idle)
        m_idle();
}

void RunRegistry::keep(const std::shared_ptr<GenerationRun> &run)
{
    // A request that did not run may be sent again as if it were new; one that another request
    // holds is not this daemon's to answer.
    const bool wholeOrRan = run->failure() ? run->failure()->ran != Ran::No : run->isWhole();
    if (!wholeOrRan) {
        m_byClaim.remove(run->request().claimKey);
        return;
    }
    m_keptBytes += run->keptBytes();
    m_finished.push_back({run, m_context.timers.now() + m_retention.finished});
    while (m_keptBytes > m_retention.total.value() && !m_finished.empty())
        forgetOldest();
}

void RunRegistry::forgetOldest()
{
    const std::shared_ptr<GenerationRun> run = m_finished.front().run;
    m_finished.pop_front();
    m_keptBytes -= run->keptBytes();
    if (m_byClaim.value(run->request().claimKey) == run)
        m_byClaim.remove(run->request().claimKey);
}

void RunRegistry::sweep()
{
    const MonotonicTime now = m_context.timers.now();
    while (!m_finished.empty() && m_finished.front().until <= now)
        forgetOldest();
    std::vector<std::shared_ptr<GenerationRun>> overdue;
    for (const auto &[key, run] : m_running) {
        if (run->hasSinks()) {
            m_abandoned.erase(key);
            continue;
        }
        const MonotonicTime since = m_abandoned.emplace(key, now).first->second;
        if (now - since >= m_retention.abandoned)
            overdue.push_back(run);
    }
    for (const std::shared_ptr<GenerationRun> &run : overdue)
        run->cancelIfAbandoned();
}

} // namespace cranberry
