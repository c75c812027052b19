// What runners do wrong, and what a client is told of it.
#define BOOST_TEST_MODULE PlatformRunners
#include <boost/test/unit_test.hpp>

#include "http/CallerReply.h"
#include "standins/users/RawRunner.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"

using namespace cranberry;
using Runner = standin::RunnerEmulator;
using standin::RawAnswer;
using standin::RawRunner;

namespace {

struct Fixture {
    Fixture()
    {
        site.configure(1);
        daemon = site.startDaemon();
    }

    test::PlatformSite site;
    Runner &first = site.addRunner("plain-1", "plain");
    Runner &model = site.addRunner("model-1", "model");
    int daemon = -1;
};

/// A site whose plain runner writes what the test says.
struct RawFixture {
    RawFixture()
    {
        const QByteArray entry = R"({"service": "plain", "zone": "hall", "slots": 4,
            "state": "ready", "address": "127.0.0.1:)"
            + QByteArray::number(runner.endpoint().port) + "\"}";
        site.store().put(QStringLiteral("servers/raw"), entry);
        site.configure(1);
        daemon = site.startDaemon();
    }

    test::PlatformSite site;
    RawRunner::Answer answer;
    RawRunner runner{[this](const QByteArray &request) { return answer(request); }};
    int daemon = -1;
};

/// The head of a sealed answer to @p request with the lines @p framing.
QByteArray head(const QByteArray &request, const QByteArray &framing)
{
    return "HTTP/1.1 200 OK\r\nCranberryquay-Response-Seal: s\r\nCranberryquay-Request-Id: "
        + RawRunner::header(request, "Cranberryquay-Request-Id") + "\r\n" + framing + "\r\n";
}

bool isPlain(const HttpRequest &request)
{
    return !request.path.startsWith("/v1/");
}

} // namespace

// A client got a body that was cut short as if it were whole: the runner's answer had no length
// and its connection was reset midway, which looked like an orderly close.
BOOST_FIXTURE_TEST_CASE(ResetAnswerWithoutLengthIsNotWhole, RawFixture)
{
    answer = [](const QByteArray &request) {
        return RawAnswer{head(request, "") + "half", RawAnswer::After::Reset};
    };
    const auto call = site.call(daemon, "POST", "/unsafe/a", "r1");
    BOOST_TEST(call->response.status == 502);
    BOOST_TEST(!call->response.headers.contains("Cranberryquay-Response-Seal"));
}

// The same answer with an orderly close is whole.
BOOST_FIXTURE_TEST_CASE(ClosedAnswerWithoutLengthIsWhole, RawFixture)
{
    answer = [](const QByteArray &request) {
        return RawAnswer{head(request, "") + "whole", RawAnswer::After::Close};
    };
    const auto call = site.call(daemon, "POST", "/unsafe/a", "r1");
    BOOST_TEST(call->response.status == 200);
    BOOST_TEST((call->response.body == "whole"));
}

// A client was told that its request had not run although it had: the runner answered 503 without
// saying that it did not run it, and the daemon passed the 503 on.
BOOST_FIXTURE_TEST_CASE(UnmarkedRefusalIsNoPromise, Fixture)
{
    first.setOverride([&](const HttpRequest &request, const Runner::Reply &reply) {
        if (isPlain(request))
            reply->send({503, first.answerHeaders(request), {}});
        return isPlain(request);
    });
    BOOST_TEST(site.call(daemon, "POST", "/unsafe/a", "r1")->response.status == 502);
}

// A full runner says that it did not run the request; another one then takes it.
BOOST_FIXTURE_TEST_CASE(MarkedRefusalGoesElsewhere, Fixture)
{
    Runner &second = site.addRunner("plain-2", "plain");
    int refused = 0;
    first.setOverride([&](const HttpRequest &request, const Runner::Reply &reply) {
        if (isPlain(request)) {
            ++refused;
            reply->send({503, {{"Cranberryquay-Not-Executed", "1"}}, {}});
        }
        return isPlain(request);
    });
    for (int i = 0; i < 6; ++i) {
        const QByteArray id = "r" + QByteArray::number(i);
        BOOST_TEST(site.call(daemon, "POST", "/unsafe/a", id)->response.status == 200);
    }
    BOOST_TEST(second.ran().size() == 6);
}

// Where no runner takes it, the client is told so and when to come back.
BOOST_FIXTURE_TEST_CASE(RefusedByAllIsAPromise, Fixture)
{
    first.setOverride([&](const HttpRequest &request, const Runner::Reply &reply) {
        if (isPlain(request))
            reply->send({429, {{"Cranberryquay-Not-Executed", "1"}}, {}});
        return isPlain(request);
    });
    const auto call = site.call(daemon, "POST", "/unsafe/a", "r1");
    BOOST_TEST(call->response.status == 503);
    BOOST_TEST(call->response.headers.contains("Retry-After"));
    BOOST_TEST(first.ran().isEmpty());
}

// An address was given to another runner: the request is not run there and goes on elsewhere.
BOOST_FIXTURE_TEST_CASE(ReusedAddressDoesNotRunIt, Fixture)
{
    Runner &second = site.addRunner("plain-2", "plain");
    site.store().put(QStringLiteral("servers/gone"), first.entry("plain"));
    for (int i = 0; i < 6; ++i) {
        const QByteArray id = "r" + QByteArray::number(i);
        BOOST_TEST(site.call(daemon, "POST", "/unsafe/a", id)->response.status == 200);
    }
    BOOST_TEST(first.ran().size() + second.ran().size() == 6);
}

// A runner fails an idempotent request; another one answers it. One that may run once is not
// sent again.
BOOST_FIXTURE_TEST_CASE(OnlyIdempotentRequestsRunAgain, Fixture)
{
    Runner &second = site.addRunner("plain-2", "plain");
    int runs = 0;
    const auto fail = [&](const HttpRequest &request, const Runner::Reply &reply) {
        if (isPlain(request) && ++runs == 1) {
            reply->abort();
            return true;
        }
        return false;
    };
    first.setOverride(fail);
    second.setOverride(fail);
    BOOST_TEST(site.call(daemon, "GET", "/safe/a", "r1")->response.status == 200);
    runs = 0;
    BOOST_TEST(site.call(daemon, "POST", "/unsafe/a", "r2")->response.status == 502);
    BOOST_TEST(runs == 1);
}

// An answer came twice; the second copy stood where the next request's answer was due, and its
// caller got it.
BOOST_FIXTURE_TEST_CASE(LateSecondAnswerGoesToNobody, RawFixture)
{
    answer = [](const QByteArray &request) {
        const QByteArray text = head(request, "Content-Length: 2\r\n") + "ok";
        return RawAnswer{text + text, RawAnswer::After::KeepOpen};
    };
    for (int i = 0; i < 5; ++i) {
        const QByteArray id = "r" + QByteArray::number(i);
        const auto call = site.call(daemon, "POST", "/unsafe/a", id);
        BOOST_TEST((call->response.body == "ok"));
        BOOST_TEST((call->response.headers.value("Cranberryquay-Request-Id") == id));
    }
}

// An extra answer came on a connection before the one that was due. It names another request and
// is skipped; the one behind it is the right one.
BOOST_FIXTURE_TEST_CASE(ExtraAnswerBeforeTheRightOneIsSkipped, RawFixture)
{
    answer = [](const QByteArray &request) {
        QByteArray other = head(request, "Content-Length: 5\r\n") + "wrong";
        other.replace(RawRunner::header(request, "Cranberryquay-Request-Id"), "another");
        return RawAnswer{other + head(request, "Content-Length: 2\r\n") + "ok",
                         RawAnswer::After::KeepOpen};
    };
    const auto call = site.call(daemon, "POST", "/unsafe/a", "r1");
    BOOST_TEST((call->response.body == "ok"));
}

// An answer that bears another request's id, or is encoded, is not passed on.
BOOST_FIXTURE_TEST_CASE(AnothersAnswerIsNotPassedOn, Fixture)
{
    first.setOverride([&](const HttpRequest &request, const Runner::Reply &reply) {
        if (!isPlain(request))
            return false;
        HttpHeaders headers = first.answerHeaders(request);
        headers.add("Content-Encoding", "gzip");
        reply->send({200, headers, "secret"});
        return true;
    });
    const auto call = site.call(daemon, "POST", "/unsafe/a", "r1");
    BOOST_TEST(call->response.status == 502);
    BOOST_TEST(!call->response.body.contains("secret"));
}

// A client left its stream, and the runner went on generating for nobody.
BOOST_FIXTURE_TEST_CASE(ClosedStreamEndsAtTheRunner, Fixture)
{
    model.setGeneration(100000, Milliseconds(5));
    auto call = site.send(daemon, "POST", "/model/a", "r1", test::PlatformSite::generation());
    BOOST_TEST(test::waitFor([&] { return call->response.body.size() > 100; }));
    BOOST_TEST(model.generating() == 1);
    call->exchange.reset();
    BOOST_TEST(test::waitFor([&] { return model.generating() == 0; }));
}

// A runner crashed midway; the stream must not look whole, and no other runner may begin it anew.
BOOST_FIXTURE_TEST_CASE(CrashMidwayBreaksTheStreamOff, Fixture)
{
    Runner &second = site.addRunner("model-2", "model");
    model.setGeneration(100000, Milliseconds(5));
    second.setGeneration(100000, Milliseconds(5));
    auto call = site.send(daemon, "POST", "/model/a", "r1", test::PlatformSite::generation());
    BOOST_TEST(test::waitFor([&] { return call->response.body.size() > 100; }));
    model.crash();
    second.crash();
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->end == HttpExchangeEnd::Broken));
    BOOST_TEST(model.ran().size() + second.ran().size() == 1);
}

// A data centre was evacuated and another one's runner had left, so that one runner served all. A
// request that failed there found no other runner, waited for one and was told that none has room,
// though the one that failed answers three of ten when asked again.
BOOST_FIXTURE_TEST_CASE(LoneRunnerIsAskedAgain, Fixture)
{
    int asked = 0;
    first.setOverride([&](const HttpRequest &request, const Runner::Reply &reply) {
        const bool fails = isPlain(request) && ++asked == 1;
        if (fails)
            reply->send({500, first.answerHeaders(request), "failed"});
        return fails;
    });
    BOOST_TEST(site.call(daemon, "GET", "/safe/a", "r1")->response.status == 200);
    BOOST_TEST(asked == 2);
}

// The same runner fails again: the client is given its answer and not one of the daemon's own.
BOOST_FIXTURE_TEST_CASE(LoneRunnersFailureIsPassedOn, Fixture)
{
    int asked = 0;
    first.setOverride([&](const HttpRequest &request, const Runner::Reply &reply) {
        if (!isPlain(request))
            return false;
        ++asked;
        reply->send({500, first.answerHeaders(request), "failed"});
        return true;
    });
    const auto call = site.call(daemon, "GET", "/safe/a", "r1");
    BOOST_TEST(call->response.status == 500);
    BOOST_TEST(call->response.headers.contains("Cranberryquay-Response-Seal"));
    BOOST_TEST(asked == 2);
}
