// Tests targets that say that they are brittle: they fall over if they reject too many requests.
#define BOOST_TEST_MODULE BrittleTargets
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "http/CallerReply.h"
#include "http/HttpResponse.h"
#include "standins/users/RetryChecks.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"

#include <algorithm>
#include <deque>
#include <list>
#include <vector>

using namespace cranberry;
using Runner = standin::RunnerEmulator;
namespace data = boost::unit_test::data;

namespace {

constexpr int Slots = 4;
constexpr Milliseconds WorkTime{40};
constexpr int UsualQueue = 8;
constexpr int BrittleQueue = 1;
constexpr int WithstoodRejections = 3;
/// From this time after it first said so, a brittle target lets fewer requests wait.
constexpr Milliseconds NoticeTime{3000};
constexpr Milliseconds DownTime{2000};
constexpr Milliseconds BrittleTime{6000};
constexpr Milliseconds Second{1000};
/// Falls that are allowed in one time in which the targets are brittle.
constexpr double AllowedFalls = 2;
constexpr double AllowedFallsPerTarget = 0.1;

/// Serves plain requests in slots and a queue, and falls over if it rejects too many.
class BrittleTarget
{
public:
    explicit BrittleTarget(Runner &runner)
        : m_runner(runner)
    {
        runner.setOverride([this](const HttpRequest &request, const Runner::Reply &reply) {
            receive(request, reply);
            return true;
        });
    }

    void setBrittle() { m_brittleAt = m_timers.now(); }
    int falls() const { return m_falls; }
    int rejected() const { return m_rejected; }

private:
    struct Job {
        HttpRequest request;
        Runner::Reply reply;
        std::unique_ptr<TimerSubscription> timer;
    };

    HttpHeaders headers(const HttpRequest &request) const
    {
        HttpHeaders headers = m_runner.answerHeaders(request);
        if (m_brittleAt)
            headers.add("Server-Brittle", QByteArray::number(WithstoodRejections));
        return headers;
    }

    void receive(const HttpRequest &request, const Runner::Reply &reply)
    {
        if (m_timers.now() < m_downUntil) {
            reply->abort();
            return;
        }
        const bool isShort = m_brittleAt && m_timers.now() - *m_brittleAt > NoticeTime;
        const std::size_t queue = isShort ? BrittleQueue : UsualQueue;
        if (m_running.size() < Slots) {
            run({request, reply, nullptr});
        } else if (m_waiting.size() < queue) {
            m_waiting.push_back({request, reply, nullptr});
        } else {
            HttpResponse refused = standin::refusalAnswer(request);
            if (m_brittleAt)
                refused.headers.add("Server-Brittle", QByteArray::number(WithstoodRejections));
            reply->send(refused);
            recordRejection(isShort);
        }
    }

    void run(Job job)
    {
        m_running.push_back(std::move(job));
        const auto place = std::prev(m_running.end());
        place->timer = m_timers.after(WorkTime, [this, place] { finish(place); });
    }

    void finish(std::list<Job>::iterator place)
    {
        const Job job = std::move(*place);
        m_running.erase(place);
        job.reply->send({200, headers(job.request), "answer to " + job.request.body});
        if (m_waiting.empty())
            return;
        Job next = std::move(m_waiting.front());
        m_waiting.pop_front();
        run(std::move(next));
    }

    void recordRejection(bool isShort)
    {
        const MonotonicTime now = m_timers.now();
        ++m_rejected;
        m_rejections.push_back(now);
        while (now - m_rejections.front() > Second)
            m_rejections.pop_front();
        if (!isShort || m_rejections.size() <= WithstoodRejections)
            return;
        ++m_falls;
        m_downUntil = now + DownTime;
        m_rejections.clear();
        for (const Job &job : m_running)
            job.reply->abort();
        for (const Job &job : m_waiting)
            job.reply->abort();
        m_running.clear();
        m_waiting.clear();
    }

    Runner &m_runner;
    QtTimerService m_timers;
    std::list<Job> m_running;
    std::deque<Job> m_waiting;
    std::deque<MonotonicTime> m_rejections;
    std::optional<MonotonicTime> m_brittleAt;
    MonotonicTime m_downUntil;
    int m_falls = 0;
    int m_rejected = 0;
};

struct Load {
    int daemons;
    int targets;
    /// Fraction of what the targets can serve.
    double ofCapacity;
    /// Requests per burst; each burst arrives at once, at different daemons.
    int burst;
};

const std::vector<Load> Loads{{3, 6, 0.83, 1}, {6, 6, 0.83, 4}, {12, 6, 0.58, 6}, {12, 2, 0.58, 1}};

} // namespace

BOOST_DATA_TEST_CASE(TheyRarelyFallOver, data::xrange(Loads.size()))
{
    // Guards against daemons that together push brittle targets over with rejected requests.
    const Load &load = Loads[sample];
    test::PlatformSite site;
    site.configure(1);
    std::vector<std::unique_ptr<BrittleTarget>> targets;
    for (int i = 0; i < load.targets; ++i) {
        Runner &runner = site.addRunner("plain-" + QByteArray::number(i), "plain");
        runner.setSlots(Slots);
        site.announce(runner, "plain", "ready");
        targets.push_back(std::make_unique<BrittleTarget>(runner));
    }
    for (int i = 0; i < load.daemons; ++i)
        site.startDaemon();
    BOOST_REQUIRE(test::waitFor([&] {
        for (int daemon = 0; daemon < load.daemons; ++daemon) {
            if (!site.log(daemon).contains("name=peers.listed listed="
                                           + QByteArray::number(load.daemons)))
                return false;
        }
        return true;
    }));
    QtTimerService timers;
    std::vector<std::shared_ptr<test::ClientCall>> calls;
    int sent = 0;
    const double perSecond =
        load.ofCapacity * load.targets * Slots * 1000 / double(WorkTime.count());
    const std::chrono::duration<double> interval(load.burst / perSecond);
    const auto send = [&](Milliseconds duration) {
        const MonotonicTime start = timers.now();
        int bursts = 0;
        test::waitFor(
            [&] {
                const std::chrono::duration<double> passed = timers.now() - start;
                for (; bursts * interval < passed; ++bursts) {
                    for (int i = 0; i < load.burst; ++i, ++sent)
                        calls.push_back(site.send(sent % load.daemons, "POST", "/unsafe/a",
                                                  QByteArray::number(sent)));
                }
                return passed > duration;
            },
            duration + std::chrono::seconds(30));
    };
    send(Second);
    for (const auto &target : targets)
        target->setBrittle();
    send(NoticeTime);
    const std::size_t first = calls.size();
    send(BrittleTime);
    int served = 0;
    std::vector<int> servedBy(std::size_t(load.daemons), 0);
    for (std::size_t call = first; call < calls.size(); ++call) {
        BOOST_TEST(test::PlatformSite::finish(calls[call]));
        const bool isServed = calls[call]->response.status == 200;
        served += isServed ? 1 : 0;
        servedBy[call % servedBy.size()] += isServed ? 1 : 0;
    }
    int falls = 0;
    int rejected = 0;
    for (const auto &target : targets) {
        falls += target->falls();
        rejected += target->rejected();
    }
    BOOST_TEST_MESSAGE(load.daemons << " daemons, load " << load.ofCapacity << ", bursts of "
                                    << load.burst << ": " << falls << " falls, " << rejected
                                    << " rejected there, " << served << " of "
                                    << calls.size() - first << " served");
    // With more daemons than slots, those without a part of the room serve through others.
    BOOST_TEST(*std::min_element(servedBy.begin(), servedBy.end()) > 0);
    BOOST_TEST(falls <= AllowedFalls + AllowedFallsPerTarget * load.targets);
}
