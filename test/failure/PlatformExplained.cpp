// Tests that "explain" finds the cause of a failed request from its id and the logs alone.
#define BOOST_TEST_MODULE PlatformExplained
#include <boost/test/unit_test.hpp>

#include "http/CallerReply.h"
#include "support/CtlRun.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"

#include <QTimer>

#include <csignal>

using namespace cranberry;
using Runner = standin::RunnerEmulator;

namespace {

/// Time that the overloaded target takes for a request.
constexpr Milliseconds ServiceTime{100};

struct Fixture {
    Fixture()
    {
        site.configure(1);
        daemon = site.startDaemon();
        otherDaemon = site.startDaemon();
    }

    /// Returns what "explain" prints for @p request once the log has the line @p last of that
    /// request.
    QByteArray explain(const QByteArray &request, const QByteArray &last)
    {
        const QByteArray line = "name=" + last + " request=" + request;
        BOOST_REQUIRE(test::waitFor([&] { return site.log(daemon).contains(line); }));
        const QString firstLog = test::temporaryFile(QStringLiteral("one.log"), site.log(daemon));
        const QString secondLog =
            test::temporaryFile(QStringLiteral("two.log"), site.log(otherDaemon));
        const test::CtlRun run = test::runCtl(
            {QStringLiteral("explain"), QString::fromLatin1(request), secondLog, firstLog});
        BOOST_TEST(run.exitCode == 0);
        return run.output;
    }

    test::PlatformSite site;
    Runner &model = site.addRunner("model-1", "model");
    Runner &plain = site.addRunner("plain-1", "plain");
    int daemon = -1;
    int otherDaemon = -1;
};

} // namespace

// A stream broke off because its runner crashed.
BOOST_FIXTURE_TEST_CASE(StreamCutMidway, Fixture)
{
    model.setGeneration(1000, Milliseconds(10));
    const auto call = site.send(daemon, "POST", "/model/a", "r1", test::PlatformSite::generation());
    BOOST_REQUIRE(test::waitFor([&] { return call->response.body.size() > 100; }));
    model.crash();
    BOOST_TEST(test::PlatformSite::finish(call));
    const QByteArray explanation = explain("r1", "relay.ended");
    BOOST_TEST(explanation.contains("Ended as broken off"));
    BOOST_TEST(explanation.contains("at target model-1: reset by the peer"));
    BOOST_TEST(explanation.contains("name=target.suspected target=model-1"));
}

// A request got status 502 because the runner reset the connection.
BOOST_FIXTURE_TEST_CASE(PlainRequestThatFailed, Fixture)
{
    plain.setOverride([](const HttpRequest &, const Runner::Reply &reply) {
        reply->abort();
        return true;
    });
    BOOST_TEST(site.call(daemon, "POST", "/unsafe/a", "r1")->response.status == 502);
    const QByteArray explanation = explain("r1", "relay.ended");
    BOOST_TEST(explanation.contains("has run: maybe"));
    BOOST_TEST(explanation.contains("to target plain-1, ended as broken: reset by the peer"));
}

// A request was refused because no engine had capacity before its deadline.
BOOST_FIXTURE_TEST_CASE(RefusalWithoutRoom, Fixture)
{
    model.setRoom(0);
    const auto call = site.send(daemon, "POST", "/model/a", "r1", test::PlatformSite::generation());
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST(call->response.status == 503);
    const QByteArray explanation = explain("r1", "relay.ended");
    BOOST_TEST(explanation.contains("Ended as no_target"));
    BOOST_TEST(explanation.contains("has run: no"));
    BOOST_TEST(explanation.contains("engines refused room, 0 sends"));
}

// More requests came than the target can answer. One was rejected on arrival by an estimate, and
// its caller came back at once.
BOOST_FIXTURE_TEST_CASE(RejectedUnderOverload, Fixture)
{
    plain.setSlots(1);
    site.announce(plain, "plain", "ready");
    // The target answers one request after the other.
    plain.setOverride([this, busyUntil = std::chrono::steady_clock::now()](
                          const HttpRequest &request, const Runner::Reply &reply) mutable {
        const auto now = std::chrono::steady_clock::now();
        busyUntil = std::max(busyUntil, now) + ServiceTime;
        QTimer::singleShot(std::chrono::duration_cast<Milliseconds>(busyUntil - now),
                           [reply, headers = plain.answerHeaders(request)] {
                               reply->send({200, headers, "done"});
                           });
        return true;
    });
    // The daemon compares the times of later answers with those of the first eight.
    for (int number = 0; number < 8; ++number)
        site.call(daemon, "GET", "/safe/a", "a" + QByteArray::number(number));
    std::vector<std::shared_ptr<test::ClientCall>> calls;
    // Paths differ, as requests that are equal count as retries of each other.
    const auto send = [&](const QByteArray &id, const QByteArray &path) {
        calls.push_back(site.send(daemon, "GET", path, id));
    };
    for (int number = 0; number < 30; ++number)
        send("b" + QByteArray::number(number), "/safe/b" + QByteArray::number(number));
    int arrivals = 0;
    QByteArray id;
    const auto sendNext = [&] {
        id = "n" + QByteArray::number(++arrivals);
        send(id, "/safe/" + id);
        test::waitFor([&] { return calls.back()->isOver; }, Milliseconds(50));
    };
    BOOST_TEST(test::waitFor([&] {
        sendNext();
        return site.metrics(daemon).contains(
            "\ncranberry_relay_admission_fleet_waiting{service=\"plain\",priority=\"11\"} ");
    }));
    BOOST_REQUIRE(test::waitFor([&] {
        sendNext();
        return site.log(daemon).contains("name=admission.rejected request=" + id + ' ')
            && !site.log(daemon).contains("name=relay.waiting request=" + id + ' ');
    }));
    const QByteArray metrics = site.metrics(daemon);
    BOOST_TEST(calls.back()->response.status == 503);
    // An early return is placed if there is room that nobody waits for.
    for (int number = 0; number < 4; ++number)
        send("f" + QByteArray::number(number), "/safe/f" + QByteArray::number(number));
    test::waitFor([&] { return calls.back()->isOver; }, ServiceTime / 4);
    send("again", "/safe/" + id);
    const QByteArray explanation = explain(id, "relay.ended");
    BOOST_TEST(explanation.contains("Ended as no_target"));
    BOOST_TEST(explanation.contains("has run: no"));
    BOOST_TEST(explanation.contains("Rejected by an estimate on arrival: expected wait "));
    BOOST_TEST(explanation.contains("It had level 44 (combined priority 11, overuse level 0)"));
    BOOST_TEST(explanation.contains("Its caller was told to retry after "));
    BOOST_TEST(explain("again", "relay.ended").contains("Rejected as an early return"));
    for (const QByteArray figure :
         {"admission_rejected_total{priority=\"11\"} ", "admission_returned_total{kind=\"new\"} ",
          "admission_pressed_services 1\n",
          "admission_workspace_use{service=\"plain\",workspace=\"house\"} ",
          "target_speed{target=\"plain-1\",figure=\"service_ms\"} ",
          "late_total{kind=\"idempotent\",cause=\"on_time\"} "})
        BOOST_TEST(metrics.contains("\ncranberry_relay_" + figure), figure.toStdString());
    for (const auto &call : calls)
        test::PlatformSite::finish(call);
}

// A request for an existing route got status 503: the store was unavailable, and the daemon could
// not tell whether a newer configuration has the route.
BOOST_FIXTURE_TEST_CASE(RefusalWithoutTheStore, Fixture)
{
    site.signal(otherDaemon, SIGKILL);
    site.store().refuse(standin::StoreEmulator::Door::First, true);
    int attempts = 0;
    QByteArray id;
    BOOST_REQUIRE(test::waitFor([&] {
        id = "r" + QByteArray::number(++attempts);
        return site.call(daemon, "GET", "/extra/a", id)->response.status == 503;
    }));
    const QByteArray explanation = explain(id, "relay.refused");
    BOOST_TEST(explanation.contains("Refused as not_ready: no route"));
    BOOST_TEST(explanation.contains("The platform's store was away since"));
}

// "explain" fails if the logs do not contain the request, or if a log cannot be read.
BOOST_FIXTURE_TEST_CASE(UnknownRequestIsTold, Fixture)
{
    const QString log = test::temporaryFile(QStringLiteral("one.log"), site.log(daemon));
    const test::CtlRun run = test::runCtl({QStringLiteral("explain"), QStringLiteral("r9"), log});
    BOOST_TEST(run.exitCode == 1);
    BOOST_TEST(run.errors.contains("request=r9"));
    const test::CtlRun missing =
        test::runCtl({QStringLiteral("explain"), QStringLiteral("r9"), QStringLiteral("/no/log")});
    BOOST_TEST(missing.exitCode == 2);
}

// A request was refused at once because the only data centre with targets for it was evacuated.
BOOST_FIXTURE_TEST_CASE(RefusedAsAllIsEvacuated, Fixture)
{
    site.evacuate(QStringLiteral("hall"), true);
    int requests = 0;
    QByteArray id;
    BOOST_REQUIRE(test::waitFor([&] {
        id = "e" + QByteArray::number(++requests);
        return site.call(daemon, "GET", "/safe/a", id)->response.status == 503;
    }));
    const QByteArray explanation = explain(id, "relay.ended");
    BOOST_TEST(explanation.contains("Ended as no_target"));
    BOOST_TEST(explanation.contains("has run: no"));
    BOOST_TEST(explanation.contains("Data centre hall was evacuated since"));
}

// A runner names a rate limit, changes it, names one that cannot be read, and ends it. The log has
// a line for each, and one for a header that the daemon does not know.
BOOST_FIXTURE_TEST_CASE(RateLimitsAreLogged, Fixture)
{
    int requests = 0;
    const auto awaitLine = [&](const QByteArray &line) {
        return test::waitFor([&] {
            site.call(daemon, "GET", "/safe/a", "l" + QByteArray::number(++requests));
            return site.log(daemon).contains(line);
        });
    };
    plain.setRateLimit("100");
    BOOST_TEST(awaitLine("name=target.limited target=plain-1 per_second=100 before=none"));
    plain.setRateLimit("50.5");
    BOOST_TEST(awaitLine("name=target.limited target=plain-1 per_second=50.5 before=100"));
    plain.setRateLimit("many");
    BOOST_TEST(awaitLine("name=target.limit_unreadable target=plain-1"));
    plain.setRateLimit("");
    BOOST_TEST(awaitLine("name=target.limit_ended target=plain-1 per_second=none before=50.5"));
    plain.setOverride([this](const HttpRequest &request, const Runner::Reply &reply) {
        HttpHeaders headers = plain.answerHeaders(request);
        headers.add("X-New", "1");
        reply->send({200, headers, {}});
        return true;
    });
    BOOST_TEST(awaitLine("name=answer.header_unknown target=plain-1 header=x-new"));
    site.call(daemon, "GET", "/safe/a", "last");
    BOOST_TEST(site.log(daemon).count("name=answer.header_unknown") == 1);
}
