// Tests what must hold for requests that a partitioned daemon forwards to another one.
#define BOOST_TEST_MODULE ForwardedRequests
#include <boost/test/unit_test.hpp>

#include "base/QtTimerService.h"
#include "base/TimerSubscription.h"
#include "http/CallerReply.h"
#include "http/HttpClient.h"
#include "relay/ForwardMessage.h"
#include "standins/users/PartitionProxy.h"
#include "standins/users/RetryChecks.h"
#include "support/ConnectionOwner.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"

#include <csignal>
#include <vector>

using namespace cranberry;
using standin::PartitionForm;
using standin::PartitionProxy;
using Runner = standin::RunnerEmulator;

namespace {

constexpr int DaemonCount = 3;
constexpr int Partitioned = 0;
constexpr int LongStream = 2000;
constexpr Milliseconds EventInterval{5};
constexpr Milliseconds Grace{8000};

/// Three daemons, of which the first is partitioned from all targets.
struct Fixture {
    Fixture()
    {
        site.configure(1);
        for (int i = 0; i < 3; ++i)
            addTarget("plain-" + QByteArray::number(i), "plain");
        for (int i = 0; i < 3; ++i)
            addTarget("engine-" + QByteArray::number(i), "model");
        for (int i = 0; i < DaemonCount; ++i)
            site.startDaemon();
        BOOST_REQUIRE(test::waitFor(
            [&] { return site.log(Partitioned).count("name=member.joined") == DaemonCount - 1; }));
        for (const auto &proxy : proxies)
            proxy->partition({Partitioned}, PartitionForm::Reset);
        BOOST_REQUIRE(test::waitFor([&] {
            site.call(Partitioned, "GET", "/safe/a", nextId());
            site.call(Partitioned, "POST", "/model/a", nextId(), test::PlatformSite::generation());
            return site.log(Partitioned).count("name=service.unreachable") == 2;
        }));
    }

    void addTarget(const QByteArray &id, const QByteArray &service)
    {
        Runner &runner = site.addRunner(id, service);
        runners.push_back(&runner);
        runner.onRan([this](const HttpRequest &request) {
            ran.append(request.headers.value("Cranberryquay-Request-Id"));
        });
        proxies.push_back(std::make_unique<PartitionProxy>(
            runner.endpoint(), [this](quint16 port, quint16 proxyPort) {
                return test::connectionOwner(port, proxyPort, site.processes());
            }));
        runner.setAnnounced(proxies.back()->endpoint());
        site.announce(runner, service, "ready");
    }

    QByteArray nextId() { return "id-" + QByteArray::number(++ids); }

    std::shared_ptr<test::ClientCall> startLongStream(const QByteArray &id)
    {
        for (Runner *runner : runners)
            runner->setGeneration(LongStream, EventInterval);
        std::shared_ptr<test::ClientCall> call = site.send(
            Partitioned, "POST", "/model/a", id, test::PlatformSite::generation(100, LongStream));
        BOOST_REQUIRE(test::waitFor([&] { return call->response.body.contains("id: 5\n"); }));
        return call;
    }

    /// The daemon that processes the forwarded request @p id.
    int exitOf(const QByteArray &id)
    {
        int exit = -1;
        test::waitFor([&] {
            for (int daemon = 1; daemon < DaemonCount; ++daemon) {
                if (site.log(daemon).contains("name=relay.arrived request=" + id + ' '))
                    exit = daemon;
            }
            return exit > 0;
        });
        return exit;
    }

    int generating() const
    {
        int count = 0;
        for (const Runner *runner : runners)
            count += runner->generating();
        return count;
    }

    quint16 peerPort(int daemon)
    {
        const QByteArray log = site.log(daemon);
        const qsizetype at = log.indexOf(" peer=") + qsizetype(sizeof(" peer=") - 1);
        return quint16(log.mid(at).split('\n').first().split(' ').first().toInt());
    }

    test::PlatformSite site;
    std::vector<Runner *> runners;
    std::vector<std::unique_ptr<PartitionProxy>> proxies;
    QList<QByteArray> ran;
    int ids = 0;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(AStreamOfAKilledDaemonIsNotComplete, Fixture)
{
    const QByteArray id = nextId();
    const auto call = startLongStream(id);
    const int exit = exitOf(id);
    BOOST_REQUIRE(exit > 0);
    site.signal(exit, SIGKILL);
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->end != HttpExchangeEnd::Complete));
    BOOST_TEST(ran.count(id) == 1);
}

BOOST_FIXTURE_TEST_CASE(TheTargetStopsWhenTheCallerLeaves, Fixture)
{
    const auto call = startLongStream(nextId());
    BOOST_TEST(generating() == 1);
    call->exchange.reset();
    BOOST_TEST(test::waitFor([&] { return generating() == 0; }));
}

BOOST_FIXTURE_TEST_CASE(ADrainingDaemonCompletesWhatItTook, Fixture)
{
    const QByteArray id = nextId();
    for (Runner *runner : runners)
        runner->setGeneration(300, EventInterval);
    const auto call =
        site.send(Partitioned, "POST", "/model/a", id, test::PlatformSite::generation(100, 100));
    BOOST_REQUIRE(test::waitFor([&] { return call->response.body.contains("id: 5\n"); }));
    const int exit = exitOf(id);
    BOOST_REQUIRE(exit > 0);
    site.signal(exit, SIGTERM);
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(site.call(Partitioned, "POST", "/unsafe/a", nextId())->response.status == 200);
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->end == HttpExchangeEnd::Complete));
    BOOST_TEST((call->response.body == test::PlatformSite::events(300)));
    BOOST_TEST(test::waitFor([&] { return site.hasEnded(exit); }));
}

BOOST_FIXTURE_TEST_CASE(ARequestAtAKilledDaemonIsNotPromisedNotToHaveRun, Fixture)
{
    // Guards against an at-most-once request that is said not to have run after its daemon died.
    for (Runner *runner : runners)
        runner->setOverride([this](const HttpRequest &request, const Runner::Reply &) {
            const bool isPlain = request.path.startsWith("/unsafe/");
            if (isPlain)
                ran.append(request.headers.value("Cranberryquay-Request-Id"));
            return isPlain;
        });
    const QByteArray id = nextId();
    const auto call = site.send(Partitioned, "POST", "/unsafe/a", id);
    BOOST_REQUIRE(test::waitFor([&] { return ran.contains(id); }));
    const int exit = exitOf(id);
    BOOST_REQUIRE(exit > 0);
    site.signal(exit, SIGKILL);
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST(call->response.status == 502);
    BOOST_TEST(ran.count(id) == 1);
}

BOOST_FIXTURE_TEST_CASE(ADaemonThatShutsDownAnswersWhatItForwarded, Fixture)
{
    // Guards against a caller whose daemon is killed while another one works on its request.
    for (Runner *runner : runners)
        runner->setOverride([this](const HttpRequest &request, const Runner::Reply &) {
            const bool isPlain = request.path.startsWith("/unsafe/");
            if (isPlain)
                ran.append(request.headers.value("Cranberryquay-Request-Id"));
            return isPlain;
        });
    const QByteArray id = nextId();
    const auto call = site.send(Partitioned, "POST", "/unsafe/a", id);
    BOOST_REQUIRE(test::waitFor([&] { return ran.contains(id); }));
    site.signal(Partitioned, SIGTERM);
    QtTimerService timers;
    const auto kill = timers.after(Grace, [this] { site.signal(Partitioned, SIGKILL); });
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->end == HttpExchangeEnd::Complete));
    BOOST_TEST(call->response.status == 504);
    BOOST_TEST(ran.count(id) == 1);
    BOOST_TEST(test::waitFor([&] { return site.hasEnded(Partitioned); }));
    BOOST_TEST(site.hasEndedWell(Partitioned));
}

BOOST_FIXTURE_TEST_CASE(OnlyDaemonsForward, Fixture)
{
    // Guards against a caller that chooses its own workspace with a forged message.
    ForwardMessage forged;
    forged.from = VmId(QStringLiteral("nobody"));
    forged.request.id = RequestId(QStringLiteral("forged"));
    forged.request.method = "POST";
    forged.request.target = "/unsafe/a";
    forged.route.timeout = forged.route.objective = forged.left = Milliseconds(5000);
    forged.service = ServiceId(QStringLiteral("plain"));
    forged.workspace = WorkspaceId(QStringLiteral("house"));
    QtTimerService timers;
    HttpClient client(timers);
    const auto statusAt = [&](const HttpEndpoint &endpoint) {
        int status = 0;
        const auto exchange = client.fetch(
            endpoint, encodeForward(forged), {},
            [&](HttpExchangeEnd, const HttpResponse &response) { status = response.status; });
        BOOST_TEST(test::waitFor([&] { return status != 0; }));
        return status;
    };
    BOOST_TEST(statusAt({QStringLiteral("127.0.0.1"), peerPort(1)}) == 503);
    BOOST_TEST(statusAt(site.callers(1)) == 400);
    BOOST_TEST(!ran.contains("forged"));
}

BOOST_FIXTURE_TEST_CASE(KeysAreCheckedWhereTheCallerIs, Fixture)
{
    BOOST_TEST(site.callWithKey(Partitioned, "/safe/a", nextId(), "wrong")->response.status == 401);
    BOOST_TEST(site.callWithKey(Partitioned, "/safe/a", nextId(), "key")->response.status == 200);
}

BOOST_FIXTURE_TEST_CASE(ItServesItselfAgainAfterThePartition, Fixture)
{
    for (const auto &proxy : proxies)
        proxy->heal();
    BOOST_TEST(
        test::waitFor([&] { return site.log(Partitioned).count("name=service.reachable") == 2; }));
    const QByteArray id = nextId();
    BOOST_TEST(site.call(Partitioned, "POST", "/unsafe/a", id)->response.status == 200);
    BOOST_TEST(test::waitFor(
        [&] { return site.log(Partitioned).contains("name=relay.sent request=" + id + ' '); }));
}

// Guards against requests of a partitioned daemon that reach a target which asked the daemon that
// sends them for a pause.
BOOST_FIXTURE_TEST_CASE(APausedTargetGetsNoForwardedRequests, Fixture)
{
    int received = 0;
    runners.front()->setOverride([&](const HttpRequest &request, const Runner::Reply &reply) {
        if (request.path.startsWith("/v1/"))
            return false;
        ++received;
        HttpResponse refused = standin::refusalAnswer(request);
        refused.headers.add("Retry-After", "20");
        reply->send(refused);
        return true;
    });
    BOOST_REQUIRE(test::waitFor([&] {
        site.call(Partitioned, "GET", "/safe/a", nextId());
        return site.log(1).contains("name=target.paused target=plain-0")
            && site.log(2).contains("name=target.paused target=plain-0");
    }));
    const int before = received;
    constexpr int Requests = 40;
    int served = 0;
    for (int i = 0; i < Requests; ++i)
        served += site.call(Partitioned, "GET", "/safe/a", nextId())->response.status == 200;
    BOOST_TEST(served == Requests);
    BOOST_TEST(received == before);
}
