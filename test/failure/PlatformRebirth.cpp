// Tests runners that restart under the same id, and entries that other programs wrote.
#define BOOST_TEST_MODULE PlatformRebirth
#include <boost/test/unit_test.hpp>

#include "http/CallerReply.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"

using namespace cranberry;
using Runner = standin::RunnerEmulator;

namespace {

constexpr qint64 FirstStart = 1700000000000;
constexpr qint64 SecondStart = FirstStart + 5000;

struct Fixture {
    Fixture()
    {
        site.configure(1);
        runner.setBorn(FirstStart);
        site.announce(runner, "model", "ready");
        daemon = site.startDaemon();
        BOOST_REQUIRE(awaitLogLine("name=target.joined"));
    }

    bool awaitLogLine(const QByteArray &line)
    {
        return test::waitFor([&] { return site.log(daemon).contains(line); });
    }

    std::shared_ptr<test::ClientCall> startStream(const QByteArray &id)
    {
        auto call = site.send(daemon, "POST", "/model/a", id, test::PlatformSite::generation());
        BOOST_REQUIRE(test::waitFor([&] { return !call->response.body.isEmpty(); }));
        return call;
    }

    void overwriteEntry(const QByteArray &value) { site.store().put("servers/model-1", value); }

    test::PlatformSite site;
    Runner &runner = site.addRunner("model-1", "model");
    int daemon = -1;
};

} // namespace

// Guards against streams of a runner's previous process that stay open until their deadline: a
// runner crashes behind a partition and restarts under its id, and the connection of its stream
// stays open and silent. The client is told at once, and its next request is served by the new
// process.
BOOST_FIXTURE_TEST_CASE(StreamsOfTheFormerStartEnd, Fixture)
{
    runner.setGeneration(1000, Milliseconds(10));
    const auto call = startStream("r1");
    runner.startAgain(SecondStart);
    site.announce(runner, "model", "ready");
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->end == HttpExchangeEnd::Broken));
    BOOST_TEST(awaitLogLine("reason=\"the target started again\""));
    runner.setGeneration(3, Milliseconds(2));
    const auto nextCall =
        site.call(daemon, "POST", "/model/a", "r2", test::PlatformSite::generation());
    BOOST_TEST((nextCall->response.body == test::PlatformSite::events(3)));
}

// Guards against a runner that is excluded for good: it drained, ended and restarted under its id.
// Taken for the draining process, it would get no work.
BOOST_FIXTURE_TEST_CASE(RunnerThatLeftComesBack, Fixture)
{
    site.announce(runner, "model", "draining");
    BOOST_REQUIRE(awaitLogLine("name=target.leaving"));
    runner.startAgain(SecondStart);
    site.announce(runner, "model", "ready");
    BOOST_REQUIRE(awaitLogLine("name=target.started_again"));
    const auto call = site.call(daemon, "POST", "/model/a", "r1", test::PlatformSite::generation());
    BOOST_TEST((call->response.body == test::PlatformSite::events(3)));
    BOOST_TEST((runner.ran().first().headers.value("Cranberryquay-Expect-Instance") == "model-1"));
}

// Another program overwrites the entry of a runner. The stream there goes on, the runner gets no
// new request until its next heartbeat, and no request is suspected of a crash.
BOOST_FIXTURE_TEST_CASE(ForeignEntryTakesNoStreamAway, Fixture)
{
    runner.setGeneration(150, Milliseconds(5));
    const auto call = startStream("r1");
    overwriteEntry(R"({"service": "model", "address": 17, "state": "ready"})");
    BOOST_REQUIRE(awaitLogLine("name=target.withheld"));
    const auto refusedCall =
        site.call(daemon, "POST", "/model/a", "r2", test::PlatformSite::generation());
    BOOST_TEST(refusedCall->response.status == 503);
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->response.body == test::PlatformSite::events(150)));
    BOOST_TEST(!site.log(daemon).contains("name=quarantine.suspect"));
    runner.setGeneration(3, Milliseconds(2));
    site.announce(runner, "model", "ready");
    BOOST_TEST(test::waitFor([&, n = 0]() mutable {
        const QByteArray id = "n" + QByteArray::number(++n);
        return site.call(daemon, "POST", "/model/a", id, test::PlatformSite::generation())
                   ->response.body
            == test::PlatformSite::events(3);
    }));
}

// Entries of other writers are ignored and counted, and the runner beside them serves.
BOOST_FIXTURE_TEST_CASE(ForeignEntriesNameNoRunner, Fixture)
{
    const QByteArray address = runner.address();
    const QList<QByteArray> foreignEntries{
        "\xff\xfe not text",
        "[]",
        R"({"service": "model"})",
        R"({"service": 3, "address": ")" + address + R"(", "zone": "hall", "slots": 8,
            "state": "ready"})",
        R"({"service": "model", "address": ")" + address + R"(", "zone": "hall", "slots": 8,
            "state": "resting"})",
        R"({"service": "model", "address": ")" + address + R"(", "zone": "hall", "slots": 8,
            "state": "ready", "born": 1700000000000.5})",
        R"({"service": "model", "address": ")" + address + R"(", "zone": "hall", "slots": "8",
            "state": "ready"})"};
    for (qsizetype i = 0; i < foreignEntries.size(); ++i)
        site.store().put(QStringLiteral("servers/other-%1").arg(i), foreignEntries.at(i));
    BOOST_REQUIRE(test::waitFor(
        [&] { return site.log(daemon).count("name=target.unreadable") == foreignEntries.size(); }));
    BOOST_TEST(!site.log(daemon).contains("target=other-"));
    const auto call = site.call(daemon, "POST", "/model/a", "r1", test::PlatformSite::generation());
    BOOST_TEST((call->response.body == test::PlatformSite::events(3)));
}
