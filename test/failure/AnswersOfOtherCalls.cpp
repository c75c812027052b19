// Tests that an answer that arrives where another one is due does not count as that one.
#define BOOST_TEST_MODULE AnswersOfOtherCalls
#include <boost/test/unit_test.hpp>

#include "standins/users/PromiseChecks.h"
#include "standins/users/RawRunner.h"
#include "standins/users/RepeatingRunner.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"

#include <random>

using namespace cranberry;
using namespace std::chrono_literals;
using standin::AnswerTimes;
using standin::RawAnswer;
using standin::RawRunner;
using standin::RepeatingRunner;

namespace {

const QByteArray Slow = "slow";

/// Answers to all but slow requests come again where the next answer on the connection is due. The
/// answer to a probe comes with the next request on its connection.
struct Fixture {
    Fixture()
    {
        site.configure(1);
        site.setFirstStart();
        for (RepeatingRunner *target : {&first, &second}) {
            target->setTimes([](const HttpRequest &request) {
                return request.body == Slow ? AnswerTimes{2500ms, false, {}}
                                            : AnswerTimes{50ms, true, {}};
            });
            target->setRejectionTime(std::nullopt);
        }
        announce(first, 8);
        daemon = site.startDaemon();
    }

    void announce(const RepeatingRunner &target, int slotCount)
    {
        site.store().put(QStringLiteral("servers/") + QString::fromLatin1(target.id()),
                         target.entry("plain", slotCount));
    }
    qsizetype runs(const QByteArray &id) const
    {
        return first.ran().count(id) + second.ran().count(id);
    }
    void send(const QByteArray &id, const QByteArray &body)
    {
        requests.push_back({id, site.sendWithBody(daemon, "/unsafe/a", id, body)});
    }
    /// Leaves idle connections whose last answer will come again, and makes the daemon probe the
    /// target over one of them.
    void provokeProbe()
    {
        for (int i = 0; i < 4; ++i)
            send("first-" + QByteArray::number(i), {});
        for (const Request &request : requests)
            BOOST_REQUIRE(test::PlatformSite::finish(request.call));
        send("slow", Slow);
        BOOST_REQUIRE(test::waitFor([&] { return first.calls() > 0; }));
    }
    /// Waits for all answers. Each must be that of the only run of its request.
    void checkAnswers()
    {
        for (const Request &request : requests) {
            BOOST_TEST_CONTEXT(request.id.toStdString())
            {
                BOOST_TEST(test::PlatformSite::finish(request.call));
                BOOST_TEST(runs(request.id) == 1);
                BOOST_TEST(request.call->response.status == 200);
                const QByteArray echo =
                    request.call->response.headers.value("Cranberryquay-Request-Id");
                BOOST_TEST((echo == request.id));
            }
        }
    }

    struct Request {
        QByteArray id;
        std::shared_ptr<test::ClientCall> call;
    };

    test::PlatformSite site;
    RepeatingRunner first{"plain-1"};
    RepeatingRunner second{"plain-2"};
    std::vector<Request> requests;
    int daemon = -1;
};

} // namespace

// Guards against a promise that a request has not run, made of the late rejection of a probe.
BOOST_FIXTURE_TEST_CASE(RejectedProbeIsNoRejectionOfARequest, Fixture)
{
    provokeProbe();
    for (int i = 0; i < 4; ++i)
        send("last-" + QByteArray::number(i), {});
    checkAnswers();
}

// Guards against a second run of a request at another target, for the same reason.
BOOST_FIXTURE_TEST_CASE(RejectedProbeStartsNoSecondRun, Fixture)
{
    provokeProbe();
    // With a slot of its own it gets few of the requests that follow.
    announce(second, 1);
    BOOST_REQUIRE(test::waitFor(
        [&] { return site.log(daemon).contains("name=target.joined target=plain-2"); }));
    for (int i = 0; i < 8; ++i)
        send("last-" + QByteArray::number(i), {});
    checkAnswers();
}

// Guards against a promise that a generation has not run, made of a second answer to the
// reservation before it.
BOOST_AUTO_TEST_CASE(RejectedReservationIsNoRejectionOfAGeneration)
{
    test::PlatformSite site;
    int runs = 0;
    int reservations = 0;
    RawRunner runner([&](const QByteArray &request) {
        const QByteArray id = RawRunner::header(request, "Cranberryquay-Request-Id");
        const auto json = [](const QByteArray &body) {
            return RawAnswer{"HTTP/1.1 200 OK\r\nContent-Length: " + QByteArray::number(body.size())
                             + "\r\n\r\n" + body};
        };
        if (request.startsWith("POST /v1/hold-take")) {
            ++reservations;
            return json(R"({"hold": "h"})");
        }
        if (id.isEmpty())
            return json(R"({"queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 100000})");
        ++runs;
        return RawAnswer{"HTTP/1.1 503 Service Unavailable\r\nCranberryquay-Not-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n"};
    });
    const QByteArray entry = R"({"service": "model", "zone": "hall", "slots": 4,
        "state": "ready", "address": "127.0.0.1:)"
        + QByteArray::number(runner.endpoint().port) + "\"}";
    site.store().put(QStringLiteral("servers/raw"), entry);
    site.configure(1);
    site.setFirstStart();
    const int daemon = site.startDaemon();
    const auto call = site.call(daemon, "POST", "/model/a", "r1", test::PlatformSite::generation());
    BOOST_REQUIRE(reservations > 0);
    BOOST_TEST(runs == 1);
    BOOST_TEST(call->response.status == 502);
}

// The same under load, with second answers and rejections at random times.
BOOST_AUTO_TEST_CASE(RequestsUnderLoadRunOnce)
{
    constexpr int Targets = 60;
    constexpr std::size_t Callers = 24;
    constexpr auto Duration = 8s;
    constexpr quint32 Seed = 1;
    std::mt19937 random(Seed);
    test::PlatformSite site;
    standin::PromiseChecks promises;
    std::vector<std::unique_ptr<RepeatingRunner>> targets;
    for (int i = 0; i < Targets; ++i) {
        targets.push_back(std::make_unique<RepeatingRunner>("plain-" + QByteArray::number(i)));
        RepeatingRunner &target = *targets.back();
        target.setTimes([&random](const HttpRequest &) {
            const bool isSlow = random() % 20 == 0;
            AnswerTimes times;
            times.answer = std::chrono::milliseconds(isSlow ? 600 : random() % 20);
            times.isRepeated = random() % 10 < 3;
            if (random() % 2 == 0)
                times.repeat = std::chrono::milliseconds(random() % 51);
            return times;
        });
        target.setRejectionTime(120ms);
        target.onRan([&, i](const HttpRequest &request) {
            promises.ran("plain-" + QByteArray::number(i), request);
        });
        site.store().put(QStringLiteral("servers/") + QString::fromLatin1(target.id()),
                         target.entry("plain"));
    }
    site.configure(1);
    site.setFirstStart();
    const int daemon = site.startDaemon();
    std::vector<std::pair<QByteArray, std::shared_ptr<test::ClientCall>>> calls;
    int sent = 0;
    const auto until = std::chrono::steady_clock::now() + Duration;
    const auto step = [&] {
        for (auto call = calls.begin(); call != calls.end();) {
            if (!call->second->isOver) {
                ++call;
                continue;
            }
            promises.answered(call->first, call->second->response,
                              call->second->end == HttpExchangeEnd::Complete);
            call = calls.erase(call);
        }
        const bool isSending = std::chrono::steady_clock::now() < until;
        while (isSending && calls.size() < Callers) {
            const QByteArray id = "r" + QByteArray::number(++sent);
            calls.emplace_back(id, site.sendWithBody(daemon, "/unsafe/a", id, "body of " + id));
        }
        return !isSending && calls.empty();
    };
    BOOST_TEST(test::waitFor(step));
    int repeats = 0;
    int probes = 0;
    for (const auto &target : targets) {
        repeats += target->repeats();
        probes += target->calls();
    }
    BOOST_TEST_MESSAGE(sent << " requests, " << repeats << " second answers, " << probes
                            << " probes");
    BOOST_TEST(repeats > 0);
    BOOST_TEST(probes > 0);
    for (const QString &broken : promises.broken())
        BOOST_ERROR(broken.toStdString());
}
