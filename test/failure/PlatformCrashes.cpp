// Requests that crash the runners that run them.
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

    /// A runner that breaks off the harmful request and, if @c crashes, is gone by that.
    void addRunner(const QByteArray &id)
    {
        Runner &runner = site.addRunner(id, "plain");
        runner.setOverride([this, &runner](const HttpRequest &request, const Runner::Reply &reply) {
            if (request.body != HarmfulBody)
                return false;
            ++harmed;
            reply->abort();
            if (crashes)
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

    bool isHeldBackAt(int daemon)
    {
        return test::waitFor(
            [&] { return sendHarmful(daemon, "probe-" + QByteArray::number(++probes)) == 503; });
    }

    test::PlatformSite site;
    int first = -1;
    int second = -1;
    bool crashes = true;
    int harmed = 0;
    int probes = 0;
};

} // namespace

// A request crashed the runner that ran it, its client sent it again, and one runner after the
// other went down. After two crashes, at whichever daemons, it reaches no runner any more, and the
// rest of the runners goes on serving others.
BOOST_FIXTURE_TEST_CASE(RequestThatCrashesRunnersIsHeldBack, Fixture)
{
    BOOST_TEST(sendHarmful(first, "r1") == 502);
    BOOST_REQUIRE(logs(first, "name=quarantine.suspect"));
    BOOST_REQUIRE(logs(second, "name=target.gone"));
    BOOST_TEST(sendHarmful(second, "r2") == 502);
    BOOST_REQUIRE(logs(second, "name=quarantine.added"));
    BOOST_TEST(isHeldBackAt(first));
    BOOST_TEST(isHeldBackAt(second));
    BOOST_TEST(harmed <= 3);
    BOOST_TEST(site.callWithBody(first, "/unsafe/a", "r3", "harmless")->response.status == 200);
}

// A faulty runner cuts the answers to one request again and again and stays. That is no crash: the
// request would be refused though other runners serve it.
BOOST_FIXTURE_TEST_CASE(CutAnswersAreNoCrashes, Fixture)
{
    crashes = false;
    for (int i = 0; i < 6; ++i)
        BOOST_TEST(sendHarmful(first, "r" + QByteArray::number(i)) == 502);
    BOOST_TEST(harmed == 6);
}

// A runner leaves without a word while it runs a request, which it then answers. The request is
// not to blame, also when that happens twice.
BOOST_FIXTURE_TEST_CASE(RunnersThatLeaveSilentlyBlameNoRequest, Fixture)
{
    crashes = false;
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
