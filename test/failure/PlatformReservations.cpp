// Tests the capacity that daemons reserve at engines before they send a generation there.
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

    std::shared_ptr<test::ClientCall> generate(int daemonIndex, const QByteArray &id)
    {
        return site.send(daemonIndex, "POST", "/model/a", id, test::PlatformSite::generation());
    }

    test::PlatformSite site;
    Runner &first = site.addRunner("model-1", "model");
    int daemon = -1;
};

} // namespace

// Guards against an overcommitted engine: two daemons saw capacity for one more generation at the
// same engine, and both sent one. The second waited inside the engine for seconds although another
// engine had capacity a moment later. The engine grants its capacity once, so that the second
// daemon keeps its request until the first one has ended.
BOOST_FIXTURE_TEST_CASE(RoomIsGivenOnce, Fixture)
{
    const int otherDaemon = site.startDaemon();
    first.setRoom(1);
    first.setGeneration(20, Milliseconds(10));
    const auto firstCall = generate(daemon, "r1");
    const auto secondCall = generate(otherDaemon, "r2");
    BOOST_TEST(test::PlatformSite::finish(firstCall));
    BOOST_TEST(test::PlatformSite::finish(secondCall));
    BOOST_TEST((firstCall->response.body == test::PlatformSite::events(20)));
    BOOST_TEST((secondCall->response.body == test::PlatformSite::events(20)));
    BOOST_TEST(first.mostGenerating() == 1);
}

// An engine without capacity is skipped for one that has it, and is not sent the request.
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

// When no engine has capacity, the client is told that its request has not run and when to retry,
// and no engine has received it.
BOOST_FIXTURE_TEST_CASE(NoRoomAnywhereIsAPromise, Fixture)
{
    first.setRoom(0);
    const auto call = generate(daemon, "r1");
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST(call->response.status == 503);
    BOOST_TEST(call->response.headers.contains("Retry-After"));
    BOOST_TEST(first.ran().isEmpty());
}

// Guards against a leaked reservation: a client disconnects while its daemon waits for the engine's
// answer. The capacity that is then granted would stay unused until the reservation expires; it is
// released.
BOOST_FIXTURE_TEST_CASE(RoomOfAClientThatLeftIsGivenBack, Fixture)
{
    Runner::Reply pending;
    bool isReleased = false;
    first.setOverride([&](const HttpRequest &request, const Runner::Reply &reply) {
        if (request.path == ReservationPath)
            pending = reply;
        isReleased = isReleased || request.path == "/v1/hold-drop/late";
        return request.path == ReservationPath;
    });
    auto call = generate(daemon, "r1");
    BOOST_REQUIRE(test::waitFor([&] { return bool(pending); }));
    call->exchange.reset();
    BOOST_REQUIRE(test::waitFor([&] { return site.log(daemon).contains("caller gone"); }));
    pending->send({200, {}, R"({"hold": "late"})"});
    BOOST_TEST(test::waitFor([&] { return isReleased; }));
    BOOST_TEST(first.ran().isEmpty());
}

// An engine resets the connection of the reservation. Nothing of the request has been sent, so that
// it runs elsewhere even if it may run only once.
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

// An address is reused by another engine. That engine grants no capacity to a request that names
// the former one.
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

// Guards against a false failure: an engine closed an idle connection without notice, and the next
// reservation over it was reset. The engine was then suspected of having failed. The reservation is
// retried once over a new connection.
BOOST_FIXTURE_TEST_CASE(DroppedIdleConnectionIsNoFailure, Fixture)
{
    BOOST_TEST(test::PlatformSite::finish(generate(daemon, "r1")));
    int reservations = 0;
    first.setOverride([&](const HttpRequest &request, const Runner::Reply &reply) {
        const bool isDropped = request.path == ReservationPath && ++reservations == 1;
        if (isDropped)
            reply->abort();
        return isDropped;
    });
    const auto call = generate(daemon, "r2");
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->response.body == test::PlatformSite::events(3)));
    BOOST_TEST(reservations == 2);
    BOOST_TEST(!site.log(daemon).contains("name=target.suspected"));
}
