// Tests that a request which crashes the targets that run it is not sent on and on.
#define BOOST_TEST_MODULE HarmfulRequests
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "standins/users/CrashingTargets.h"
#include "standins/users/PromiseChecks.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"

#include <QFile>

#include <csignal>
#include <string>
#include <vector>

using namespace cranberry;
using standin::CrashForm;
using standin::CrashingTargets;
namespace data = boost::unit_test::data;

namespace {

constexpr int TargetCount = 12;
constexpr Milliseconds OrdinaryInterval{25};
constexpr Milliseconds HarmfulInterval{333};
constexpr Milliseconds KillInterval{1500};
constexpr Milliseconds WarmUp{1500};
constexpr Milliseconds Duration{9000};
/// Bounds of the platform's rule: runs that begin later than this after the third crash.
constexpr Milliseconds StableTime{3000};
constexpr int MaxLateRuns = 3;
constexpr int MaxCrashes = 3;
/// One caller in this many sends the body that other callers send as well.
constexpr int PopularEvery = 2;
const HttpHeaders CallerDeadline{{"Cranberryquay-Deadline-Ms", "4000"}};

struct Shape {
    const char *name = "";
    standin::CrashBehaviour behaviour;
    int daemons = 6;
    /// Callers of harmful requests disconnect after this time, unless it is zero.
    Milliseconds patience{0};
    /// Harmful requests of each kind.
    int requests = 1;
    /// Daemons are killed and started one after the other from this time on, unless it is zero.
    Milliseconds killsFrom{0};
    /// Other targets that crash with the second and the third crash.
    int others = 0;
    bool areTargetsFaulty = false;
    /// Daemon 0 is partitioned from the targets from the first crash on.
    bool isPartitioned = false;
    /// Daemon 0 is stopped for 3 s after the first crash.
    bool isStopped = false;
    /// The store refuses calls for 7 s from the first crash on.
    bool isStoreAway = false;
};

std::ostream &operator<<(std::ostream &out, const Shape &shape)
{
    return out << shape.name;
}

Shape withForm(const char *name, CrashForm form)
{
    Shape shape;
    shape.name = name;
    shape.behaviour.form = form;
    return shape;
}

template <typename Change>
Shape changed(Shape shape, const char *name, Change change)
{
    shape.name = name;
    change(shape);
    return shape;
}

const Shape Refusing = withForm("refuse", CrashForm::Refuse);
const Shape Silent = withForm("silent", CrashForm::Silent);

const std::vector<Shape> Shapes{
    Refusing,
    withForm("reset", CrashForm::Reset),
    Silent,
    changed(Refusing, "refuse, same id",
            [](Shape &shape) {
                shape.behaviour = {CrashForm::Refuse, Milliseconds(1500), true};
            }),
    changed(Silent, "silent, same id",
            [](Shape &shape) {
                shape.behaviour = {CrashForm::Silent, Milliseconds(5000), true};
            }),
    changed(Silent, "silent, callers leave",
            [](Shape &shape) { shape.patience = Milliseconds(150); }),
    changed(Refusing, "daemons killed", [](Shape &shape) { shape.killsFrom = Milliseconds(2000); }),
    changed(Refusing, "others crash, 16 daemons",
            [](Shape &shape) {
                shape.daemons = 16;
                shape.others = 3;
            }),
    changed(Refusing, "faulty targets", [](Shape &shape) { shape.areTargetsFaulty = true; }),
    changed(Refusing, "two of each kind", [](Shape &shape) { shape.requests = 2; }),
    changed(Refusing, "a daemon partitioned", [](Shape &shape) { shape.isPartitioned = true; }),
    changed(Silent, "a daemon stopped", [](Shape &shape) { shape.isStopped = true; }),
    changed(Refusing, "store away", [](Shape &shape) { shape.isStoreAway = true; }),
};

quint32 seed()
{
    bool isNumber = false;
    const quint32 given = qEnvironmentVariable("CRANBERRY_TEST_SEED").toUInt(&isNumber);
    return isNumber ? given : 1;
}

/// Daemons, targets, and callers of ordinary and of harmful requests.
class HarmfulSite
{
public:
    explicit HarmfulSite(const Shape &shape)
        : m_shape(shape)
        , m_random(seed())
        , m_targets(m_site, seed())
    {
        m_site.configure(1);
        m_targets.setBehaviour(shape.behaviour);
        m_targets.add(TargetCount, shape.daemons);
        m_targets.onRan([this](const QByteArray &target, const HttpRequest &request) {
            m_checks.ran(target, request);
        });
        for (int i = 0; i < shape.daemons; ++i)
            m_site.startDaemon();
        test::waitFor([&] { return knowEachOther(); });
    }

    ~HarmfulSite()
    {
        const QString folder = qEnvironmentVariable("CRANBERRY_TEST_LOGS");
        if (folder.isEmpty())
            return;
        for (int daemon = 0; daemon < m_shape.daemons; ++daemon) {
            QFile file(QStringLiteral("%1/%2-%3.log")
                           .arg(folder, QLatin1String(m_shape.name))
                           .arg(daemon));
            if (file.open(QIODevice::WriteOnly))
                file.write(m_site.log(daemon));
        }
    }
    HarmfulSite(const HarmfulSite &) = delete;
    HarmfulSite &operator=(const HarmfulSite &) = delete;

    void run()
    {
        m_start = m_timers.now();
        m_targets.setFaulty(m_shape.areTargetsFaulty);
        const MonotonicTime end = m_start + WarmUp + Duration;
        test::waitFor(
            [&] {
                step();
                return m_timers.now() >= end;
            },
            WarmUp + Duration + std::chrono::seconds(30));
        for (int daemon = 0; daemon < m_shape.daemons; ++daemon)
            m_site.signal(daemon, SIGCONT);
        test::waitFor([&] {
            collect();
            return m_calls.empty();
        });
    }

    const CrashingTargets &targets() const { return m_targets; }
    const standin::PromiseChecks &checks() const { return m_checks; }
    int sent() const { return m_ordinary; }
    int served() const { return m_served; }
    int quarantined() const { return m_quarantined; }
    test::PlatformSite &site() { return m_site; }

private:
    struct Call {
        QByteArray id;
        bool isOrdinary = false;
        MonotonicTime since;
        std::shared_ptr<test::ClientCall> call;
    };

    bool knowEachOther()
    {
        for (int daemon = 0; daemon < m_shape.daemons; ++daemon) {
            if (!m_site.log(daemon).contains("name=peers.listed listed="
                                             + QByteArray::number(m_shape.daemons)))
                return false;
        }
        return true;
    }

    bool isDue(MonotonicTime &next, Milliseconds interval)
    {
        if (next == MonotonicTime())
            next = m_start;
        if (next > m_timers.now())
            return false;
        next += interval;
        return true;
    }

    int randomDaemon()
    {
        int daemon = 0;
        do {
            daemon = int(m_random() % quint32(m_shape.daemons));
        } while (m_site.hasEnded(daemon));
        return daemon;
    }

    void step()
    {
        while (isDue(m_nextOrdinary, OrdinaryInterval))
            sendOrdinary();
        if (m_timers.now() < m_start + WarmUp) {
            m_nextHarmful = m_start + WarmUp;
        } else {
            while (isDue(m_nextHarmful, HarmfulInterval))
                sendHarmful();
        }
        disturb();
        collect();
    }

    void sendOrdinary()
    {
        const QByteArray id = "o" + QByteArray::number(++m_ordinary);
        const QByteArray path = m_ordinary % 4 < 2 ? "/safe/a" : "/unsafe/a";
        const QByteArray body = m_ordinary % PopularEvery == 0 ? "popular" : "body of " + id;
        m_calls.push_back({id, true, m_timers.now(),
                           m_site.sendWithBody(randomDaemon(), path, id, body, CallerDeadline)});
    }

    void sendHarmful()
    {
        for (const char *kind : {"safe", "unsafe"}) {
            for (int request = 0; request < m_shape.requests; ++request) {
                const QByteArray id = "h" + QByteArray::number(++m_harmful);
                const QByteArray body = QByteArray(CrashingTargets::HarmfulPrefix) + '-' + kind
                    + '-' + QByteArray::number(request);
                m_calls.push_back(
                    {id, false, m_timers.now(),
                     m_site.sendWithBody(randomDaemon(), QByteArray("/") + kind + "/a", id, body,
                                         CallerDeadline)});
            }
        }
    }

    void disturb()
    {
        const MonotonicTime now = m_timers.now();
        const int crashed = m_targets.crashed();
        const bool isFirst = crashed > 0 && m_crashedBefore == 0;
        if (m_shape.others > 0 && crashed > m_crashedBefore && crashed >= 2 && crashed <= 3)
            m_targets.crashOthers(m_shape.others);
        m_crashedBefore = crashed;
        if (isFirst && m_shape.isPartitioned)
            m_targets.partition({0}, standin::PartitionForm::Hang);
        if (isFirst && m_shape.isStopped) {
            m_site.signal(0, SIGSTOP);
            m_continueAt = now + Milliseconds(3000);
        }
        if (m_continueAt && now >= *m_continueAt) {
            m_continueAt.reset();
            m_site.signal(0, SIGCONT);
        }
        if (isFirst && m_shape.isStoreAway) {
            m_site.store().refuse(standin::StoreEmulator::Door::First, true);
            m_storeBackAt = now + Milliseconds(7000);
        }
        if (m_storeBackAt && now >= *m_storeBackAt) {
            m_storeBackAt.reset();
            m_site.store().refuse(standin::StoreEmulator::Door::First, false);
        }
        killInTurn(now);
    }

    void killInTurn(MonotonicTime now)
    {
        if (m_shape.killsFrom.count() == 0 || now < m_start + WarmUp + m_shape.killsFrom)
            return;
        if (m_killed >= 0 && m_site.hasEnded(m_killed)) {
            m_site.restart(m_killed);
            m_killed = -1;
        }
        if (now < m_nextKill)
            return;
        m_nextKill = now + KillInterval;
        m_killed = m_nextVictim++ % m_shape.daemons;
        m_site.signal(m_killed, SIGKILL);
    }

    void collect()
    {
        for (auto call = m_calls.begin(); call != m_calls.end();) {
            const bool leaves = !call->isOrdinary && m_shape.patience.count() > 0
                && m_timers.now() - call->since >= m_shape.patience;
            if (!call->call->isOver && !leaves) {
                ++call;
                continue;
            }
            if (call->call->isOver)
                answered(*call);
            call = m_calls.erase(call);
        }
    }

    void answered(const Call &call)
    {
        const HttpResponse &response = call.call->response;
        const bool isWhole = call.call->end == HttpExchangeEnd::Complete;
        m_checks.answered(call.id, response, isWhole);
        if (!call.isOrdinary)
            return;
        m_served += isWhole && response.status == 200 ? 1 : 0;
        m_quarantined += response.body.contains("\"quarantined\"") ? 1 : 0;
    }

    const Shape m_shape;
    std::mt19937 m_random;
    test::PlatformSite m_site;
    QtTimerService m_timers;
    CrashingTargets m_targets;
    standin::PromiseChecks m_checks;
    MonotonicTime m_start;
    MonotonicTime m_nextOrdinary;
    MonotonicTime m_nextHarmful;
    MonotonicTime m_nextKill;
    std::optional<MonotonicTime> m_continueAt;
    std::optional<MonotonicTime> m_storeBackAt;
    int m_killed = -1;
    int m_nextVictim = 0;
    int m_crashedBefore = 0;
    int m_ordinary = 0;
    int m_served = 0;
    int m_quarantined = 0;
    int m_harmful = 0;
    std::vector<Call> m_calls;
};

} // namespace

BOOST_DATA_TEST_CASE(TheyCrashThreeTargetsAtMost, data::make(Shapes))
{
    // Guards against a request that crashes its targets being sent to one target after another.
    HarmfulSite site(sample);
    site.run();
    for (const auto &[body, runs] : site.targets().harmful()) {
        BOOST_TEST_CONTEXT(sample << ", " << body.toStdString())
        {
            BOOST_TEST_MESSAGE(sample << ", " << body.toStdString() << ": " << runs.begun.size()
                                      << " runs, " << runs.crashes.size() << " crashes, "
                                      << runs.lateRuns(StableTime) << " late runs");
            BOOST_TEST(runs.lateRuns(StableTime) <= MaxLateRuns);
            BOOST_TEST(int(runs.crashes.size()) <= MaxCrashes);
        }
    }
    BOOST_TEST_MESSAGE(sample << ": " << site.targets().crashed() << " targets crashed, "
                              << site.served() << " of " << site.sent() << " served, "
                              << site.quarantined() << " quarantined");
    BOOST_TEST(int(site.targets().harmful().size()) == 2 * sample.requests);
    BOOST_TEST(site.quarantined() == 0);
    BOOST_TEST(site.checks().broken().join(u'\n').toStdString() == "");
}
