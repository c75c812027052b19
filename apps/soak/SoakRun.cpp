#include "soak/SoakRun.h"

#include "support/EventLoop.h"

#include <QElapsedTimer>

#include <csignal>

namespace cranberry::soak {

namespace {

constexpr int EventsOfAStream = 120;
constexpr Milliseconds EventInterval{10};
/// Requests and faults come this often on average.
constexpr int AskMilliseconds = 15;
constexpr int HarmMilliseconds = 400;
constexpr int MostOutput = 120;
constexpr int PromptTokens = 500;
/// After the last fault, all requests end within this time: their deadline is 15 s.
constexpr std::chrono::seconds EndWithin{20};

} // namespace

SoakRun::SoakRun(const SoakOptions &options)
    : m_options(options)
    , m_random(options.seed)
{
    m_site.configure(m_version);
    for (int i = 0; i < options.engines; ++i)
        addEngine();
    for (int i = 0; i < 2; ++i) {
        m_plain.push_back(&m_site.addRunner("plain-" + QByteArray::number(i), "plain"));
        m_plain.back()->onRan([this, i](const HttpRequest &request) {
            m_checks.ran("plain-" + QByteArray::number(i), request);
        });
    }
    for (int i = 0; i < options.daemons; ++i) {
        const int daemon = m_site.startDaemon();
        m_proxies.push_back(std::make_unique<FaultProxy>(m_site.callers(daemon)));
        m_paused.push_back(false);
    }
}

SoakRun::~SoakRun() = default;

void SoakRun::addEngine()
{
    const QByteArray id = "engine-" + QByteArray::number(qulonglong(m_engines.size()));
    standin::RunnerEmulator &engine = m_site.addRunner(id, "model");
    engine.setGeneration(EventsOfAStream, EventInterval);
    engine.onRan([this, id](const HttpRequest &request) { m_checks.ran(id, request); });
    m_engines.push_back(&engine);
}

const standin::PromiseChecks &SoakRun::run()
{
    QElapsedTimer elapsed;
    elapsed.start();
    qint64 nextAsk = 0;
    qint64 nextHarm = HarmMilliseconds;
    const qint64 end = std::chrono::milliseconds(m_options.duration).count();
    test::waitFor(
        [&] {
            while (nextAsk <= elapsed.elapsed()) {
                ask();
                nextAsk += 1 + draw(2 * AskMilliseconds);
            }
            while (nextHarm <= elapsed.elapsed()) {
                harm();
                nextHarm += 1 + draw(2 * HarmMilliseconds);
            }
            collect();
            return elapsed.elapsed() > end;
        },
        m_options.duration + EndWithin);
    mend();
    test::waitFor(
        [&] {
            collect();
            return m_pending.empty();
        },
        EndWithin);
    return m_checks;
}

void SoakRun::ask()
{
    const int daemon = draw(m_options.daemons);
    if (m_site.hasEnded(daemon))
        return;
    const QByteArray id =
        "s" + QByteArray::number(m_options.seed) + '-' + QByteArray::number(++m_asked);
    const HttpEndpoint at = m_proxies[size_t(daemon)]->endpoint();
    switch (draw(4)) {
    case 0:
        m_pending.push_back(
            {id,
             m_site.sendTo(at, "POST", "/model/a", id,
                           test::PlatformSite::generation(PromptTokens, MostOutput)),
             false});
        break;
    case 1:
        m_pending.push_back({id, m_site.sendTo(at, "GET", "/safe/a", id, {}), false});
        break;
    default:
        m_pending.push_back({id, m_site.sendTo(at, "POST", "/unsafe/a", id, {}), false});
        break;
    }
    // Some clients leave before their answer.
    if (draw(20) == 0)
        m_pending.pop_back();
}

void SoakRun::collect()
{
    for (auto pending = m_pending.begin(); pending != m_pending.end();) {
        if (!pending->call->isOver) {
            ++pending;
            continue;
        }
        const bool isWhole = pending->call->end == HttpExchangeEnd::Complete;
        m_checks.answered(pending->id, pending->call->response, isWhole);
        pending = m_pending.erase(pending);
    }
}

void SoakRun::harm()
{
    switch (draw(4)) {
    case 0:
        harmStore();
        break;
    case 1:
        harmEngine();
        break;
    case 2:
        harmDaemon();
        break;
    default: {
        FaultProxy &proxy = *m_proxies[size_t(draw(m_options.daemons))];
        if (draw(3) == 0)
            proxy.reset();
        proxy.setFault(LinkFault(draw(4)));
        break;
    }
    }
}

void SoakRun::harmDaemon()
{
    const int daemon = draw(m_options.daemons);
    const auto number = size_t(daemon);
    if (m_site.hasEnded(daemon)) {
        // The process is gone: another one takes its place.
        m_site.restart(daemon);
        m_proxies[number] = std::make_unique<FaultProxy>(m_site.callers(daemon));
        m_paused[number] = false;
        return;
    }
    if (m_paused[number]) {
        m_site.signal(daemon, SIGCONT);
        m_paused[number] = false;
        return;
    }
    constexpr int Signals[] = {SIGTERM, SIGKILL, SIGSTOP, SIGHUP, SIGHUP};
    const int signal = Signals[draw(5)];
    m_paused[number] = signal == SIGSTOP;
    m_site.signal(daemon, signal);
}

void SoakRun::harmStore()
{
    standin::StoreEmulator &store = m_site.store();
    switch (draw(4)) {
    case 0:
        store.refuse(standin::StoreEmulator::Door::First, true);
        break;
    case 1:
        store.refuse(standin::StoreEmulator::Door::First, false);
        break;
    case 2:
        store.compact();
        store.cutWatches(draw(2) == 0);
        break;
    default:
        m_site.configure(++m_version, draw(2) == 0);
        break;
    }
}

void SoakRun::harmEngine()
{
    const auto number = size_t(draw(int(m_engines.size())));
    standin::RunnerEmulator &engine = *m_engines[number];
    if (draw(3) == 0) {
        engine.crash();
        return;
    }
    // It leaves, and another one comes.
    m_site.announce(engine, "model", "draining");
    addEngine();
}

void SoakRun::mend()
{
    m_site.store().refuse(standin::StoreEmulator::Door::First, false);
    m_site.store().cutWatches(false);
    for (int daemon = 0; daemon < m_options.daemons; ++daemon) {
        m_proxies[size_t(daemon)]->setFault(LinkFault::None);
        if (m_paused[size_t(daemon)])
            m_site.signal(daemon, SIGCONT);
    }
}

} // namespace cranberry::soak
