#include "soak/AbandonedStreams.h"

#include "standins/users/RetryChecks.h"

#include <algorithm>

namespace cranberry::soak {

namespace {

const QByteArray Service = "steady";
constexpr int Engines = 8;
constexpr int EventsPerStream = 120;
constexpr Milliseconds EventInterval{10};
/// Average intervals between requests, and between faults.
constexpr int SendIntervalMs = 60;
constexpr int FaultIntervalMs = 250;
constexpr int PromptTokens = 500;
constexpr int MaxOutputTokens = 120;

} // namespace

AbandonedStreams::AbandonedStreams(test::PlatformSite &site, standin::PromiseChecks &promises,
                                   quint32 seed, int daemons)
    : m_site(site)
    , m_promises(promises)
    , m_random(seed)
    , m_prefix("a" + QByteArray::number(seed) + '-')
    , m_nextSend(m_timers.now())
    , m_nextFault(m_timers.now() + Milliseconds(FaultIntervalMs))
{
    for (int i = 0; i < Engines; ++i)
        addEngine();
    for (int daemon = 0; daemon < daemons; ++daemon)
        disturbed(daemon);
}

void AbandonedStreams::addEngine()
{
    const QByteArray id = Service + '-' + QByteArray::number(qulonglong(m_engines.size()));
    standin::RunnerEmulator &engine = m_site.addRunner(id, Service);
    engine.setGeneration(EventsPerStream, EventInterval);
    engine.setWorksOnAfterClose(m_engines.size() % 2 == 0);
    engine.onRan([this, id](const HttpRequest &request) { m_promises.ran(id, request); });
    engine.onWorked([this, id](const HttpRequest &request, int) {
        m_overlaps.worked(id, standin::requestIdOf(request),
                          standin::RunnerEmulator::isContinuation(request), m_timers.now());
    });
    m_engines.push_back(&engine);
    m_staying.push_back(&engine);
}

void AbandonedStreams::step(const std::vector<bool> &paused)
{
    const MonotonicTime now = m_timers.now();
    while (m_nextSend <= now) {
        send(paused);
        m_nextSend += Milliseconds(1 + m_random() % (2 * SendIntervalMs));
    }
    while (m_nextFault <= now) {
        injectFault();
        m_nextFault += Milliseconds(1 + m_random() % (2 * FaultIntervalMs));
    }
    const auto ended = std::partition(m_calls.begin(), m_calls.end(),
                                      [](const Call &call) { return !call.call->isOver; });
    for (auto call = ended; call != m_calls.end(); ++call)
        m_promises.answered(call->id, call->call->response,
                            call->call->end == HttpExchangeEnd::Complete);
    m_calls.erase(ended, m_calls.end());
}

void AbandonedStreams::send(const std::vector<bool> &paused)
{
    const int daemon = int(m_random() % quint32(paused.size()));
    if (paused[std::size_t(daemon)] || m_site.hasEnded(daemon))
        return;
    const QByteArray id = m_prefix + QByteArray::number(++m_count);
    m_overlaps.sent(id, daemon);
    m_calls.push_back({id,
                       m_site.send(daemon, "POST", "/steady/a", id,
                                   test::PlatformSite::generation(PromptTokens, MaxOutputTokens))});
    // One caller in 20 leaves before the answer.
    if (m_random() % 20 == 0)
        m_calls.pop_back();
}

void AbandonedStreams::injectFault()
{
    if (standin::RunnerEmulator *silent = std::exchange(m_silent, nullptr)) {
        silent->setSilent(false);
        return;
    }
    const auto engine = m_staying.begin() + std::ptrdiff_t(m_random() % m_staying.size());
    switch (m_random() % 4) {
    case 0:
        (*engine)->breakStreams();
        break;
    case 1:
        (*engine)->setSilent(true);
        m_silent = *engine;
        break;
    case 2:
        (*engine)->crash();
        break;
    default:
        m_site.announce(**engine, Service, "draining");
        m_staying.erase(engine);
        addEngine();
    }
}

void AbandonedStreams::stop()
{
    m_nextSend = m_nextFault = MonotonicTime::max();
    if (m_silent)
        m_silent->setSilent(false);
}

} // namespace cranberry::soak
