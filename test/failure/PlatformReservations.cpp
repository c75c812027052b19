// Room that daemons reserve at engines before they send a generation there.
#define BOOST_TEST_MODULE PlatformReservations
#include <boost/test/unit_test.hpp>

#include "http/CallerReply.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"

using namespace cranberry;
using Runner = standin::RunnerEmulator;

namespace {

constexpr char ReservationPath[] = "/v1/hold-take";

struct Fixture {
    Fixture()
    {
        site.configure(1);
        daemon = site.startDaemon();
    }

    std::shared_ptr<test::ClientCall> generate(int at, const QByteArray &id)
    {
        return site.send(at, "POST", "/model/a", id, test::PlatformSite::generation());
    }

    test::PlatformSite site;
    Runner &first = site.addRunner("model-1", "model");
    int daemon = -1;
};

} // namespace

// Two daemons saw room for one more generation at the same engine and both sent one. The second
// waited inside the engine for seconds, with room free elsewhere a moment later. The engine grants
// its room once, so that the second daemon keeps its request until the first one has ended.
BOOST_FIXTURE_TEST_CASE(RoomIsGivenOnce, Fixture)
{
    const int other = site.startDaemon();
    first.setRoom(1);
    first.setGeneration(20, Milliseconds(10));
    const auto one = generate(daemon, "r1");
    const auto two = generate(other, "r2");
    BOOST_TEST(test::PlatformSite::finish(one));
    BOOST_TEST(test::PlatformSite::finish(two));
    BOOST_TEST((one->response.body == test::PlatformSite::events(20)));
    BOOST_TEST((two->response.body == test::PlatformSite::events(20)));
    BOOST_TEST(first.mostGenerating() == 1);
}

// An engine without room is left for one that has it, and is not sent the request.
BOOST_FIXTURE_TEST_CASE(FullEngineIsLeftForAnother, Fixture)
{
    Runner &second = site.addRunner("model-2", "model");
    first.setRoom(0);
    for (int i = 0; i < 4; ++i) {
        const auto call = generate(daemon, "r" + QByteArray::number(i));
        BOOST_TEST(test::PlatformSite::finish(call));
        BOOST_TEST((call->response.body == test::PlatformSite::events(3)));
    }
    BOOST_TEST(first.ran().isEmpty());
    BOOST_TEST(second.ran().size() == 4);
}

// Without room anywhere a client is told that its request has not run and when to come back, and
// no engine has seen it.
BOOST_FIXTURE_TEST_CASE(NoRoomAnywhereIsAPromise, Fixture)
{
    first.setRoom(0);
    const auto call = generate(daemon, "r1");
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST(call->response.status == 503);
    BOOST_TEST(call->response.headers.contains("Retry-After"));
    BOOST_TEST(first.ran().isEmpty());
}

// A client left while its daemon waited for the engine's word. The room that was then granted
// would have stayed empty until its time was over; it is given back.
BOOST_FIXTURE_TEST_CASE(RoomOfAClientThatLeftIsGivenBack, Fixture)
{
    Runner::Reply pending;
    bool isGivenBack = false;
    first.setOverride([&](const HttpRequest &request, const Runner::Reply &reply) {
        if (request.path == ReservationPath)
            pending = reply;
        isGivenBack = isGivenBack || request.path == "/v1/hold-drop/late";
        return request.path == ReservationPath;
    });
    auto call = generate(daemon, "r1");
    BOOST_REQUIRE(test::waitFor([&] { return bool(pending); }));
    call->exchange.reset();
    BOOST_REQUIRE(test::waitFor([&] { return site.log(daemon).contains("caller gone"); }));
    pending->send({200, {}, R"({"hold": "late"})"});
    BOOST_TEST(test::waitFor([&] { return isGivenBack; }));
    BOOST_TEST(first.ran().isEmpty());
}

// An engine breaks off the connection by which it was asked for room. Nothing of the request has
// left, so that it runs elsewhere although it may run once only.
BOOST_FIXTURE_TEST_CASE(BrokenReservationLosesNothing, Fixture)
{
    Runner &second = site.addRunner("model-2", "model");
    first.setOverride([&](const HttpRequest &request, const Runner::Reply &reply) {
        if (request.path == ReservationPath)
            reply->abort();
        return request.path == ReservationPath;
    });
    for (int i = 0; i < 4; ++i) {
        const auto call = generate(daemon, "r" + QByteArray::number(i));
        BOOST_TEST(test::PlatformSite::finish(call));
        BOOST_TEST((call->response.body == test::PlatformSite::events(3)));
    }
    BOOST_TEST(second.ran().size() == 4);
}

// The address of an engine was given to another one: it grants no room to a request that is not
// meant for it.
BOOST_FIXTURE_TEST_CASE(ReusedAddressGrantsNothing, Fixture)
{
    site.store().put(QStringLiteral("servers/gone"), first.entry("model"));
    for (int i = 0; i < 4; ++i) {
        const auto call = generate(daemon, "r" + QByteArray::number(i));
        BOOST_TEST(test::PlatformSite::finish(call));
        BOOST_TEST((call->response.body == test::PlatformSite::events(3)));
    }
    BOOST_TEST(first.reserved() == 0);
}

// An engine dropped an idle connection without notice, and the next question for room was reset.
// The engine was taken for a broken one. It is asked once more over a new connection.
BOOST_FIXTURE_TEST_CASE(DroppedIdleConnectionIsNoFailure, Fixture)
{
    BOOST_TEST(test::PlatformSite::finish(generate(daemon, "r1")));
    int dropped = 0;
    first.setOverride([&](const HttpRequest &request, const Runner::Reply &reply) {
        const bool isDropped = request.path == ReservationPath && ++dropped == 1;
        if (isDropped)
            reply->abort();
        return isDropped;
    });
    const auto call = generate(daemon, "r2");
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->response.body == test::PlatformSite::events(3)));
    BOOST_TEST(dropped == 2);
    BOOST_TEST(!site.log(daemon).contains("name=target.suspected"));
}
