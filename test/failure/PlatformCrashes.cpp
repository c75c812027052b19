// Tests the quarantine of requests that crash the runners that execute them.
#define BOOST_TEST_MODULE PlatformCrashes
#include <boost/test/unit_test.hpp>

#include "http/CallerReply.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"

using namespace cranberry;
using Runner = standin::RunnerEmulator;

namespace {

constexpr char HarmfulBody[] = "harmful";

struct Fixture {
    Fixture()
    {
        site.configure(1);
        for (int i = 0; i < 4; ++i)
            addRunner("plain-" + QByteArray::number(i));
        first = site.startDaemon();
        second = site.startDaemon();
        for (const int daemon : {first, second})
            BOOST_REQUIRE(logs(daemon, "name=member.joined"));
    }

    /// Adds a runner that aborts the harmful request and, if @c isCrashSimulated, removes its entry
    /// as a crash would.
    void addRunner(const QByteArray &id)
    {
        Runner &runner = site.addRunner(id, "plain");
        runner.setOverride([this, &runner](const HttpRequest &request, const Runner::Reply &reply) {
            if (request.body != HarmfulBody)
                return false;
            ++harmfulRuns;
            reply->abort();
            if (isCrashSimulated)
                site.store().remove(QStringLiteral("servers/") + QString::fromLatin1(runner.id()));
            return true;
        });
    }

    bool logs(int daemon, const QByteArray &line)
    {
        return test::waitFor([&] { return site.log(daemon).contains(line); });
    }

    int sendHarmful(int daemon, const QByteArray &id)
    {
        return site.callWithBody(daemon, "/unsafe/a", id, HarmfulBody)->response.status;
    }

    bool isQuarantinedAt(int daemon)
    {
        return test::waitFor(
            [&] { return sendHarmful(daemon, "probe-" + QByteArray::number(++probes)) == 503; });
    }

    test::PlatformSite site;
    int first = -1;
    int second = -1;
    bool isCrashSimulated = true;
    int harmfulRuns = 0;
    int probes = 0;
};

} // namespace

// Guards against one request that crashes runner after runner because its client retries it. After
// two crashes, reported by any daemons, it is sent to no further runner, and the remaining runners
// go on serving other requests.
BOOST_FIXTURE_TEST_CASE(RequestThatCrashesRunnersIsHeldBack, Fixture)
{
    BOOST_TEST(sendHarmful(first, "r1") == 502);
    BOOST_REQUIRE(logs(first, "name=quarantine.suspect"));
    BOOST_REQUIRE(logs(second, "name=target.gone"));
    BOOST_TEST(sendHarmful(second, "r2") == 502);
    BOOST_REQUIRE(logs(second, "name=quarantine.added"));
    BOOST_TEST(isQuarantinedAt(first));
    BOOST_TEST(isQuarantinedAt(second));
    BOOST_TEST(harmfulRuns <= 3);
    BOOST_TEST(site.callWithBody(first, "/unsafe/a", "r3", "harmless")->response.status == 200);
}

// Guards against a false quarantine: a faulty runner aborts the answers to one request repeatedly
// but stays up. That is no crash; counting it as one would refuse a request that other runners can
// serve.
BOOST_FIXTURE_TEST_CASE(CutAnswersAreNoCrashes, Fixture)
{
    isCrashSimulated = false;
    for (int i = 0; i < 6; ++i)
        BOOST_TEST(sendHarmful(first, "r" + QByteArray::number(i)) == 502);
    BOOST_TEST(harmfulRuns == 6);
}

// Guards against a false quarantine: a runner removes its entry without draining while it executes
// a request, and then answers it. The request is not suspected, also when that happens repeatedly.
BOOST_FIXTURE_TEST_CASE(RunnersThatLeaveSilentlyBlameNoRequest, Fixture)
{
    isCrashSimulated = false;
    for (int i = 0; i < 3; ++i) {
        const QByteArray id = "leaving-" + QByteArray::number(i);
        Runner &runner = site.addRunner(id, "plain");
        Runner::Reply pending;
        HttpHeaders headers;
        runner.setOverride([&](const HttpRequest &request, const Runner::Reply &reply) {
            pending = reply;
            headers = runner.answerHeaders(request);
            return true;
        });
        std::vector<std::shared_ptr<test::ClientCall>> calls;
        while (!pending) {
            const QByteArray request = id + '-' + QByteArray::number(qsizetype(calls.size()));
            calls.push_back(site.send(first, "POST", "/unsafe/same", request));
            test::waitFor([&] { return pending || calls.back()->isOver; });
        }
        site.store().remove(QStringLiteral("servers/") + QString::fromLatin1(id));
        BOOST_REQUIRE(logs(first, "name=target.gone target=" + id));
        pending->send({200, headers, "done"});
        BOOST_TEST(test::PlatformSite::finish(calls.back()));
        BOOST_TEST(calls.back()->response.status == 200);
    }
    BOOST_TEST(site.call(first, "POST", "/unsafe/same", "last")->response.status == 200);
}
