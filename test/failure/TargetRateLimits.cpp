// Tests the rate limits that targets name in their answers, which hold for all daemons together.
#define BOOST_TEST_MODULE TargetRateLimits
#include <boost/test/unit_test.hpp>

#include "support/EventLoop.h"
#include "support/PlatformSite.h"

#include <algorithm>
#include <map>
#include <vector>

using namespace cranberry;
using Runner = standin::RunnerEmulator;

namespace {

constexpr Milliseconds Window{4000};
/// A limit counts from this time after it was first named.
constexpr Milliseconds NoticePeriod{3000};
/// A daemon counts from this time after it passed on an answer that names the limit.
constexpr Milliseconds ReactionTime{500};
constexpr double AllowedFactor = 1.5;
constexpr int AllowedExtra = 5;

int allowedInWindow(double perSecond)
{
    return int(AllowedFactor * perSecond * double(Window.count()) / 1000) + AllowedExtra;
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
            runner.onRan(
                [this, &runner](const HttpRequest &request) { recordRun(runner, request); });
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
        m_namedAt[m_runners[size_t(runner)]] = m_timers.now();
        m_arrivals[m_runners[size_t(runner)]].clear();
        m_toldAt.clear();
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
        const auto found = m_arrivals.find(m_runners[size_t(runner)]);
        if (found == m_arrivals.end())
            return 0;
        const std::vector<MonotonicTime> &times = found->second;
        int worst = 0;
        for (auto first = times.begin(); first != times.end(); ++first) {
            const auto last = std::lower_bound(first, times.end(), *first + Window);
            worst = std::max(worst, int(last - first));
        }
        return worst;
    }

    int answered() const { return m_answered; }
    int sent() const { return m_sent; }

private:
    struct Call {
        int daemon = 0;
        std::shared_ptr<test::ClientCall> call;
    };

    void sendOne()
    {
        const QByteArray id = QByteArray::number(++m_sent);
        const int daemon = m_daemons[size_t(m_sent) % m_daemons.size()];
        m_daemonOf[id] = daemon;
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
            m_answered += sent.call->response.status == 200 ? 1 : 0;
            if (sent.call->response.headers.contains("Server-Limit"))
                m_toldAt.emplace(sent.daemon, m_timers.now());
            return true;
        };
        m_calls.erase(std::remove_if(m_calls.begin(), m_calls.end(), isOver), m_calls.end());
    }

    void recordRun(const Runner &runner, const HttpRequest &request)
    {
        const auto named = m_namedAt.find(&runner);
        const MonotonicTime now = m_timers.now();
        if (named == m_namedAt.end() || now - named->second < NoticePeriod)
            return;
        const auto told =
            m_toldAt.find(m_daemonOf[request.headers.value("Cranberryquay-Request-Id")]);
        if (told != m_toldAt.end() && now - told->second >= ReactionTime)
            m_arrivals[&runner].push_back(now);
    }

    test::PlatformSite m_site;
    QtTimerService m_timers;
    std::vector<Runner *> m_runners;
    std::vector<int> m_daemons;
    std::vector<Call> m_calls;
    std::map<QByteArray, int> m_daemonOf;
    std::map<int, MonotonicTime> m_toldAt;
    std::map<const Runner *, MonotonicTime> m_namedAt;
    std::map<const Runner *, std::vector<MonotonicTime>> m_arrivals;
    int m_sent = 0;
    int m_answered = 0;
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
