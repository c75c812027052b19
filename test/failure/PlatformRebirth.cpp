// Runners that start again under their id, and entries that other programs wrote.
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
        BOOST_REQUIRE(logs("name=target.joined"));
    }

    bool logs(const QByteArray &line)
    {
        return test::waitFor([&] { return site.log(daemon).contains(line); });
    }

    std::shared_ptr<test::ClientCall> begin(const QByteArray &id)
    {
        auto call = site.send(daemon, "POST", "/model/a", id, test::PlatformSite::generation());
        BOOST_REQUIRE(test::waitFor([&] { return !call->response.body.isEmpty(); }));
        return call;
    }

    void overwrite(const QByteArray &value) { site.store().put("servers/model-1", value); }

    test::PlatformSite site;
    Runner &runner = site.addRunner("model-1", "model");
    int daemon = -1;
};

} // namespace

// A runner crashes behind a cut and starts again under its id. The connection of the stream that
// it ran stays open and silent. The client would wait until its deadline for events that no start
// of the runner makes; it is told at once, and its next request is served by the new start.
BOOST_FIXTURE_TEST_CASE(StreamsOfTheFormerStartEnd, Fixture)
{
    runner.setGeneration(1000, Milliseconds(10));
    const auto call = begin("r1");
    runner.startAgain(SecondStart);
    site.announce(runner, "model", "ready");
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->end == HttpExchangeEnd::Broken));
    BOOST_TEST(logs("reason=\"the target started again\""));
    runner.setGeneration(3, Milliseconds(2));
    const auto next = site.call(daemon, "POST", "/model/a", "r2", test::PlatformSite::generation());
    BOOST_TEST((next->response.body == test::PlatformSite::events(3)));
}

// A runner said that it leaves, ended, and started again under its id. Taken for the one that
// leaves, it would get no work for the rest of its life.
BOOST_FIXTURE_TEST_CASE(RunnerThatLeftComesBack, Fixture)
{
    site.announce(runner, "model", "draining");
    BOOST_REQUIRE(logs("name=target.leaving"));
    runner.startAgain(SecondStart);
    site.announce(runner, "model", "ready");
    BOOST_REQUIRE(logs("name=target.started_again"));
    const auto call = site.call(daemon, "POST", "/model/a", "r1", test::PlatformSite::generation());
    BOOST_TEST((call->response.body == test::PlatformSite::events(3)));
    BOOST_TEST((runner.ran().first().headers.value("Cranberryquay-Expect-Instance") == "model-1"));
}

// Another program overwrites the entry of a runner. The stream there goes on, the runner gets
// nothing new until its next heartbeat, and no crash is blamed on what it ran.
BOOST_FIXTURE_TEST_CASE(ForeignEntryTakesNoStreamAway, Fixture)
{
    runner.setGeneration(150, Milliseconds(5));
    const auto call = begin("r1");
    overwrite(R"({"service": "model", "address": 17, "state": "ready"})");
    BOOST_REQUIRE(logs("name=target.withheld"));
    const auto refused =
        site.call(daemon, "POST", "/model/a", "r2", test::PlatformSite::generation());
    BOOST_TEST(refused->response.status == 503);
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

// Entries of other writers beside a runner's: none is used, each is counted, the runner serves.
BOOST_FIXTURE_TEST_CASE(ForeignEntriesNameNoRunner, Fixture)
{
    const QByteArray address = runner.address();
    const QList<QByteArray> values{
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
    for (qsizetype i = 0; i < values.size(); ++i)
        site.store().put(QStringLiteral("servers/other-%1").arg(i), values.at(i));
    BOOST_REQUIRE(test::waitFor(
        [&] { return site.log(daemon).count("name=target.unreadable") == values.size(); }));
    BOOST_TEST(!site.log(daemon).contains("target=other-"));
    const auto call = site.call(daemon, "POST", "/model/a", "r1", test::PlatformSite::generation());
    BOOST_TEST((call->response.body == test::PlatformSite::events(3)));
}
