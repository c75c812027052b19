// Tests the budget for retries of a service, which holds for all daemons together.
#define BOOST_TEST_MODULE FleetRetryBudget
#include <boost/test/unit_test.hpp>

#include "http/CallerReply.h"
#include "standins/users/RetryChecks.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"

#include <csignal>
#include <vector>

using namespace cranberry;
using namespace std::chrono_literals;
using Runner = standin::RunnerEmulator;

namespace {

constexpr int Runners = 8;
constexpr double RequestsPerSecond = 150;

/// Daemons, and runners of the plain service that refuse all requests when told to.
class RefusingSite
{
public:
    explicit RefusingSite(int daemons)
    {
        m_site.configure(1);
        for (int number = 0; number < Runners; ++number) {
            Runner &runner = m_site.addRunner("plain-" + QByteArray::number(number), "plain");
            runner.setOverride([this](const HttpRequest &request, const Runner::Reply &reply) {
                m_checks.received(request, m_timers.now());
                if (m_isRefusing)
                    reply->send(standin::refusalAnswer(request));
                return m_isRefusing;
            });
        }
        for (int number = 0; number < daemons; ++number)
            m_daemons.push_back(m_site.startDaemon());
    }

    /// Sends requests to the daemons in turn; the runners refuse them if @p isRefusing.
    void send(Milliseconds duration, bool isRefusing)
    {
        m_isRefusing = isRefusing;
        const MonotonicTime end = m_timers.now() + duration;
        const std::chrono::microseconds interval(qint64(1e6 / RequestsPerSecond));
        MonotonicTime next = m_timers.now();
        test::waitFor(
            [&] {
                for (; next <= m_timers.now(); next += interval)
                    sendOne();
                return m_timers.now() >= end;
            },
            duration + 30s);
    }

    /// Kills the daemons from @p first to @p last - 1 at once and starts them again.
    void killAndRestart(size_t first, size_t last)
    {
        for (size_t number = first; number < last; ++number)
            m_site.signal(m_daemons[number], SIGKILL);
        for (size_t number = first; number < last; ++number) {
            test::waitFor([&] { return m_site.hasEnded(m_daemons[number]); });
            m_site.restart(m_daemons[number]);
        }
        for (size_t number = first; number < last; ++number)
            test::waitFor([&] { return m_site.isReady(m_daemons[number]); });
    }

    void checkBound() const
    {
        const standin::RetryWindow worst = m_checks.worstWindow();
        BOOST_TEST(worst.repeats <= worst.allowed,
                   worst.repeats << " repeats in a window where " << worst.allowed
                                 << " are allowed");
    }

    int repeats() const { return m_checks.repeats(); }

private:
    void sendOne()
    {
        const QByteArray id = "r" + QByteArray::number(++m_sent);
        const int daemon = m_daemons[size_t(m_sent) % m_daemons.size()];
        m_checks.sent(m_timers.now());
        m_calls.push_back(m_site.send(daemon, "GET", "/safe/a", id));
    }

    test::PlatformSite m_site;
    QtTimerService m_timers;
    std::vector<int> m_daemons;
    std::vector<std::shared_ptr<test::ClientCall>> m_calls;
    standin::RetryChecks m_checks;
    int m_sent = 0;
    bool m_isRefusing = false;
};

} // namespace

// Guards against daemons that each spend what is left of the budget of all.
BOOST_AUTO_TEST_CASE(AllDaemonsRetryInTheSameSecond)
{
    RefusingSite site(9);
    site.send(2s, false);
    site.send(1500ms, true);
    site.send(500ms, false);
    site.checkBound();
    BOOST_TEST(site.repeats() > 0);
}

// Guards against daemons that spend the budget again after they were killed.
BOOST_AUTO_TEST_CASE(HalfOfTheDaemonsAreKilledBetweenRefusals)
{
    RefusingSite site(9);
    site.send(2s, false);
    for (int span = 0; span < 3; ++span) {
        site.send(1500ms, true);
        site.killAndRestart(0, 5);
    }
    site.send(1s, false);
    site.checkBound();
}

// Guards against a fleet that spends the budget again after all its daemons were killed.
BOOST_AUTO_TEST_CASE(AllDaemonsAreKilledBetweenRefusals)
{
    RefusingSite site(9);
    site.send(2s, false);
    for (int span = 0; span < 3; ++span) {
        site.send(1500ms, true);
        site.killAndRestart(0, 9);
    }
    site.send(1s, false);
    site.checkBound();
}
