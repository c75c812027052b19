// Tests the rate limits that targets name in their answers, which hold for all daemons together.
#define BOOST_TEST_MODULE TargetRateLimits
#include <boost/test/unit_test.hpp>

#include "standins/users/LimitChecks.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"

#include <QCborArray>
#include <QCborValue>
#include <QHostAddress>
#include <QUdpSocket>

#include <algorithm>
#include <csignal>
#include <vector>

using namespace cranberry;
using Runner = standin::RunnerEmulator;

namespace {

constexpr Milliseconds Window{4000};
/// A limit counts from this time after it was first named.
constexpr Milliseconds NoticePeriod{3000};

int allowedInWindow(double perSecond)
{
    return standin::LimitChecks::allowedInWindow(perSecond);
}

/// Daemons and three runners of the plain service. Counts what a runner receives from daemons that
/// have passed its limit on.
class LimitSite
{
public:
    explicit LimitSite(int daemons)
    {
        m_site.configure(1);
        for (const char *id : {"plain-1", "plain-2", "plain-3"}) {
            Runner &runner = m_site.addRunner(id, "plain");
            runner.onRan([this, &runner](const HttpRequest &request) {
                m_checks.received(runner.id(), request, m_timers.now());
            });
            m_runners.push_back(&runner);
        }
        for (int i = 0; i < daemons; ++i)
            m_daemons.push_back(m_site.startDaemon());
    }

    test::PlatformSite &site() { return m_site; }
    Runner &runner(int number) { return *m_runners[size_t(number)]; }

    void nameLimit(int runner, double perSecond)
    {
        m_runners[size_t(runner)]->setRateLimit(QByteArray::number(perSecond));
        m_checks.named(m_runners[size_t(runner)]->id(), perSecond, m_timers.now());
    }

    /// Sends @p perSecond requests a second for @p duration, to the daemons in turn.
    void send(double perSecond, Milliseconds duration)
    {
        const MonotonicTime end = m_timers.now() + duration;
        const Milliseconds interval(qint64(1000 / perSecond));
        MonotonicTime next = m_timers.now();
        test::waitFor(
            [&] {
                for (; next <= m_timers.now(); next += interval)
                    sendOne();
                collectAnswers();
                return m_timers.now() >= end;
            },
            duration + std::chrono::seconds(30));
    }

    /// The most requests that count in any window at @p runner.
    int worstWindow(int runner) const
    {
        return m_checks.mostInWindow(m_runners[size_t(runner)]->id());
    }

    void endLimit(int runner) { m_runners[size_t(runner)]->setRateLimit({}); }

    /// Requests that count at @p runner so far.
    int arrivals(int runner) const { return m_checks.counted(m_runners[size_t(runner)]->id()); }

    /// The daemon that hands out the permits of @p runner; -1 if none does.
    int awaitOwner(int runner)
    {
        const QByteArray line =
            "name=permits.owned target=" + m_runners[size_t(runner)]->id() + ' ';
        int owner = -1;
        test::waitFor([&] {
            for (const int daemon : m_daemons)
                owner = m_site.log(daemon).contains(line) ? daemon : owner;
            return owner >= 0;
        });
        return owner;
    }

    void kill(int daemon)
    {
        m_site.signal(daemon, SIGKILL);
        test::waitFor([&] { return m_site.hasEnded(daemon); });
        m_down = daemon;
        m_checks.disturbed(daemon, m_timers.now());
    }

    void restart(int daemon)
    {
        m_site.restart(daemon);
        test::waitFor([&] { return m_site.isReady(daemon); });
        m_checks.disturbed(daemon, m_timers.now());
        m_down = -1;
    }

    QByteArray log(int daemon) { return m_site.log(daemon); }

    /// The port at which @p daemon receives messages of other daemons.
    quint16 peerPort(int daemon)
    {
        const QByteArray log = m_site.log(daemon);
        const qsizetype at = log.indexOf(" peer=") + qsizetype(sizeof(" peer=") - 1);
        return quint16(log.mid(at).split('\n').first().split(' ').first().toInt());
    }

    int answered() const { return m_answered; }
    int rejected() const { return m_rejected; }
    int rejectedWithRetryAfter() const { return m_rejectedWithRetryAfter; }
    int sent() const { return m_sent; }

private:
    struct Call {
        int daemon = 0;
        std::shared_ptr<test::ClientCall> call;
    };

    void sendOne()
    {
        const QByteArray id = QByteArray::number(++m_sent);
        int daemon = m_daemons[size_t(m_sent) % m_daemons.size()];
        if (daemon == m_down)
            daemon = m_daemons[size_t(m_sent + 1) % m_daemons.size()];
        m_checks.sent(id, daemon);
        const bool isIdempotent = m_sent % 2 == 0;
        m_calls.push_back({daemon,
                           m_site.send(daemon, isIdempotent ? "GET" : "POST",
                                       isIdempotent ? "/safe/a" : "/unsafe/a", id)});
    }

    void collectAnswers()
    {
        const auto isOver = [this](const Call &sent) {
            if (!sent.call->isOver)
                return false;
            const HttpResponse &response = sent.call->response;
            m_answered += response.status == 200 ? 1 : 0;
            m_rejected += response.status == 503 ? 1 : 0;
            if (response.status == 503 && response.headers.value("Retry-After").toDouble() > 0)
                ++m_rejectedWithRetryAfter;
            m_checks.passedOn(response.headers, sent.daemon, m_timers.now());
            return true;
        };
        m_calls.erase(std::remove_if(m_calls.begin(), m_calls.end(), isOver), m_calls.end());
    }

    test::PlatformSite m_site;
    QtTimerService m_timers;
    std::vector<Runner *> m_runners;
    std::vector<int> m_daemons;
    std::vector<Call> m_calls;
    standin::LimitChecks m_checks;
    int m_sent = 0;
    int m_answered = 0;
    int m_rejected = 0;
    int m_rejectedWithRetryAfter = 0;
    int m_down = -1;
};

} // namespace

// Guards against daemons that together send a target more than the limit it names, or a changed
// one.
BOOST_AUTO_TEST_CASE(DaemonsTogetherKeepATargetsLimit)
{
    LimitSite site(3);
    site.send(50, Milliseconds(1000));
    for (const double perSecond : {2.8, 5.0}) {
        site.nameLimit(0, perSecond);
        site.send(50, NoticePeriod + Window + Milliseconds(1000));
        BOOST_TEST(site.worstWindow(0) <= allowedInWindow(perSecond));
    }
    // The other targets have room for all requests.
    BOOST_TEST(site.answered() >= site.sent() * 95 / 100);
}

// Guards against requests that wait until their timeout, or are sent over the limit, when all
// targets of their service have reached their limits.
BOOST_AUTO_TEST_CASE(RequestsBeyondAllLimitsAreRejectedAtOnce)
{
    LimitSite site(3);
    site.send(30, Milliseconds(500));
    for (int runner = 0; runner < 3; ++runner)
        site.nameLimit(runner, 2.0);
    site.send(30, NoticePeriod + Window + Milliseconds(1000));
    for (int runner = 0; runner < 3; ++runner)
        BOOST_TEST(site.worstWindow(runner) <= allowedInWindow(2.0));
    BOOST_TEST(site.rejected() > 0);
    BOOST_TEST(site.rejected() == site.rejectedWithRetryAfter());
    BOOST_TEST(site.log(0).contains("name=relay.limited"));
}

// Guards against a limit that is exceeded, or stops all requests for good, when the daemon that
// hands out its permits is killed and starts again.
BOOST_AUTO_TEST_CASE(OwnerOfATargetIsKilled)
{
    LimitSite site(4);
    site.send(30, Milliseconds(500));
    for (int runner = 0; runner < 3; ++runner)
        site.nameLimit(runner, 4.0);
    site.send(30, NoticePeriod);
    const int owner = site.awaitOwner(0);
    BOOST_REQUIRE(owner >= 0);
    site.kill(owner);
    site.send(30, Milliseconds(1500));
    site.restart(owner);
    // The other daemons take another owner once the killed one has been silent for four seconds.
    site.send(30, Window + Milliseconds(4000));
    const int before = site.arrivals(0);
    site.send(30, Window);
    for (int runner = 0; runner < 3; ++runner)
        BOOST_TEST(site.worstWindow(runner) <= allowedInWindow(4.0));
    BOOST_TEST(site.arrivals(0) > before);
    // It learned the limits from the other daemons.
    BOOST_TEST(site.log(owner).contains("name=target.limited"));
    BOOST_TEST(site.log(owner).contains("by=vm"));
}

// Guards against a limit that is kept after the target has ended it.
BOOST_AUTO_TEST_CASE(EndedLimitIsKeptNoLonger)
{
    LimitSite site(3);
    site.nameLimit(0, 1.0);
    site.send(50, Milliseconds(4000));
    site.endLimit(0);
    const bool isEnded = test::waitFor([&] {
        site.send(50, Milliseconds(200));
        return site.log(0).contains("name=target.limit_ended")
            && site.log(1).contains("name=target.limit_ended")
            && site.log(2).contains("name=target.limit_ended");
    });
    BOOST_TEST(isEnded);
    const qsizetype before = site.runner(0).ran().size();
    site.send(50, Milliseconds(4000));
    // A third of 200 requests, where the limit allowed 4.
    BOOST_TEST(site.runner(0).ran().size() - before > 20);
}

// Guards against streams that are sent to an engine over its limit, and against reservations there.
BOOST_AUTO_TEST_CASE(StreamsKeepTheLimitOfAnEngine)
{
    test::PlatformSite site;
    site.configure(1);
    Runner &limited = site.addRunner("model-1", "model");
    Runner &free = site.addRunner("model-2", "model");
    for (Runner *runner : {&limited, &free})
        runner->setGeneration(3, Milliseconds(2));
    limited.setRateLimit("0");
    const int daemon = site.startDaemon();
    site.startDaemon();
    BOOST_REQUIRE(test::waitFor([&] { return site.log(daemon).contains("name=member.joined"); }));
    int requests = 0;
    BOOST_REQUIRE(test::waitFor([&] {
        site.call(daemon, "POST", "/model/a", "s" + QByteArray::number(++requests),
                  test::PlatformSite::generation());
        return site.log(daemon).contains("name=target.limited target=model-1 per_second=0");
    }));
    const qsizetype before = limited.ran().size();
    for (int i = 0; i < 40; ++i) {
        const auto call = site.call(daemon, "POST", "/model/a", "t" + QByteArray::number(i),
                                    test::PlatformSite::generation());
        BOOST_TEST((call->response.body == test::PlatformSite::events(3)));
    }
    BOOST_TEST(limited.ran().size() - before <= allowedInWindow(0));
    BOOST_TEST(limited.reserved() == 0);
}

// Guards against a daemon that missed the end of a limit, by a lost message, and gets no permit to
// find it out: it would never send to the target again.
BOOST_AUTO_TEST_CASE(DaemonThatMissedTheEndOfALimitFindsItOut)
{
    LimitSite site(2);
    // A message of a daemon that does not exist names limits that the targets do not have.
    QCborArray rows;
    for (int runner = 0; runner < 3; ++runner)
        rows.append(QCborArray{QString::fromLatin1(site.runner(runner).id()), 2.0, 0, 0});
    const QCborArray message{
        QStringLiteral("vm9"), QStringLiteral("hall"), 8, QCborArray{0, rows}, 0, true};
    QUdpSocket socket;
    const quint16 port = site.peerPort(1);
    socket.writeDatagram(QCborValue(message).toCbor(), QHostAddress::LocalHost, port);
    BOOST_REQUIRE(test::waitFor([&] { return site.log(1).count("name=target.limited") == 3; }));
    BOOST_TEST(test::waitFor([&] {
        site.send(30, Milliseconds(200));
        return site.log(1).count("name=target.limit_ended") == 3;
    }));
    BOOST_TEST(!site.log(0).contains(
        "name=target.limited target=plain-1 per_second=2 before=none by=vm9"));
}
