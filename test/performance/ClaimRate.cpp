// Measures what claims cost the platform's service: calls a second, by claims a second and
// daemons, with gathering. Usage: bench-ClaimRate PLATFORM_PORT DAEMONS CLAIMS_A_SECOND SECONDS
// [direct]. The stand-in of the platform runs beside it; "direct" leaves gathering out.
#include "base/EventLog.h"
#include "base/QtTimerService.h"
#include "base/TimerSubscription.h"
#include "claims/ClaimStore.h"
#include "peer/PeerNetwork.h"
#include "platformstore/HttpKeyValueStore.h"
#include "support/FixedMembers.h"

#include <QCoreApplication>
#include <QCryptographicHash>
#include <QEventLoop>
#include <QTimer>
#include <QUuid>

#include <algorithm>
#include <cstdio>
#include <map>
#include <random>

using namespace cranberry;

namespace {

constexpr Milliseconds MessageDelay{1};
constexpr Milliseconds Tick{1};
constexpr Milliseconds Settling{2000};

using Handlers = std::map<std::pair<VmId, PeerMessageKind>, PeerNetwork::Handler>;

/// Messages between the daemons of this process, each MessageDelay late.
class LocalPeers final : public PeerNetwork
{
public:
    LocalPeers(Handlers &handlers, VmId self)
        : m_handlers(handlers)
        , m_self(std::move(self))
    {
    }

    bool send(const VmId &vm, PeerMessageKind kind, const QCborMap &body) override
    {
        QTimer::singleShot(MessageDelay, [this, vm, kind, body] {
            const auto handler = m_handlers.find({vm, kind});
            if (handler != m_handlers.end())
                handler->second(m_self, body);
        });
        return true;
    }

    void subscribe(PeerMessageKind kind, Handler handler) override
    {
        m_handlers[{m_self, kind}] = std::move(handler);
    }

private:
    Handlers &m_handlers;
    VmId m_self;
};

struct ClaimingDaemon {
    ClaimingDaemon(QtTimerService &timers, quint16 port, Handlers &handlers, const VmId &self,
                   const QList<VmId> &view)
        : store(timers, {QStringLiteral("127.0.0.1"), port})
        , peers(handlers, self)
        , members(self, view)
        , claims({store, timers, members, peers}, ClaimSettings())
    {
    }

    HttpKeyValueStore store;
    LocalPeers peers;
    test::FixedMembers members;
    ClaimStore claims;
};

class Load
{
public:
    Load(quint16 port, int daemons, double rate, bool gathers)
        : m_rate(rate)
    {
        QList<VmId> all;
        for (int i = 0; i < daemons; ++i)
            all.append(VmId(QStringLiteral("vm%1").arg(i)));
        for (const VmId &vm : all) {
            m_daemons.push_back(std::make_unique<ClaimingDaemon>(m_timers, port, m_handlers, vm,
                                                                 gathers ? all : QList<VmId>{vm}));
        }
    }

    void run(Milliseconds duration)
    {
        const MonotonicTime start = m_timers.now();
        const double before = m_started;
        const auto ticks = m_timers.every(Tick, [&] {
            // Ticks may come late; arrivals follow the clock.
            const double due =
                std::chrono::duration<double>(m_timers.now() - start).count() * m_rate;
            while (m_started - before < due)
                startOne();
        });
        runFor(duration);
    }

    void drain() { runFor(Settling); }

    ClaimCounts counts() const
    {
        ClaimCounts sum;
        for (const auto &daemon : m_daemons)
            sum += daemon->claims.counts();
        return sum;
    }

    double percentile(double share)
    {
        if (m_latencies.empty())
            return 0;
        std::sort(m_latencies.begin(), m_latencies.end());
        return m_latencies[size_t(share * double(m_latencies.size() - 1))];
    }

    int refused() const { return m_refused; }

private:
    static void runFor(Milliseconds duration)
    {
        QEventLoop loop;
        QTimer::singleShot(duration, &loop, &QEventLoop::quit);
        loop.exec();
    }

    void startOne()
    {
        ++m_started;
        const MonotonicTime start = m_timers.now();
        const QString attempt = QUuid::createUuid().toString(QUuid::WithoutBraces);
        const QByteArray key =
            QCryptographicHash::hash(attempt.toLatin1(), QCryptographicHash::Sha256);
        m_daemons[m_random() % m_daemons.size()]->claims.claim(
            key, key, AttemptId(attempt), [this, start](const Result<ClaimDecision> &decision) {
                m_refused += !decision;
                m_latencies.push_back(
                    std::chrono::duration<double, std::milli>(m_timers.now() - start).count());
            });
    }

    QtTimerService m_timers;
    Handlers m_handlers;
    std::vector<std::unique_ptr<ClaimingDaemon>> m_daemons;
    std::mt19937 m_random{1};
    double m_rate;
    double m_started = 0;
    int m_refused = 0;
    std::vector<double> m_latencies;
};

} // namespace

int main(int argc, char *argv[])
{
    const QCoreApplication application(argc, argv);
    if (argc < 5) {
        std::fprintf(stderr, "usage: %s PLATFORM_PORT DAEMONS CLAIMS_A_SECOND SECONDS [direct]\n",
                     argv[0]);
        return 2;
    }
    setLogLevel(LogLevel::Error);
    const int daemons = std::atoi(argv[2]);
    const int rate = std::atoi(argv[3]);
    const int seconds = std::atoi(argv[4]);
    Load load(quint16(std::atoi(argv[1])), daemons, rate, argc == 5);
    load.run(Settling); // heads are read once a shard, windows find their length
    const ClaimCounts before = load.counts();
    load.run(std::chrono::seconds(seconds));
    const ClaimCounts after = load.counts();
    load.drain();
    std::printf("daemons=%d claims/s=%d won/s=%.1f writes/s=%.1f reads/s=%.1f refused=%d "
                "p50=%.1fms p99=%.1fms\n",
                daemons, rate, double(after.won - before.won) / seconds,
                double(after.writes - before.writes) / seconds,
                double(after.reads - before.reads) / seconds, load.refused(), load.percentile(0.5),
                load.percentile(0.99));
    return 0;
}
