// Targets load the wrong adapter: the daemon that issues orders was paused after its last look
// at the clock, its lease lapsed, another became the issuer and gave a newer order, and then the
// first woke up and sent its old one. The fencing number tells the old order from the new; where
// a target ignores it, the old one is taken, which is the window that the times keep small.
#define BOOST_TEST_MODULE PausedIssuer
#include <boost/test/unit_test.hpp>

#include "base/EventLog.h"
#include "orders/IssuerLease.h"
#include "platformstore/HttpKeyValueStore.h"
#include "support/EventLoop.h"
#include "support/StandinProcess.h"
#include "support/StoreCalls.h"

#include <QJsonArray>

using namespace cranberry;

namespace {

const ServiceId Service(QStringLiteral("bulletins"));

LeaseTimes shortTimes()
{
    LeaseTimes times;
    times.leaseDuration = Milliseconds(600);
    times.expiryMargin = Milliseconds(200);
    times.maxOrderDelay = Milliseconds(50);
    return times;
}

struct Fixture {
    Fixture() { setLogLevel(LogLevel::Error); }

    FencingNumber numberOf(const IssuerLease &issuer)
    {
        BOOST_REQUIRE(test::waitFor([&] { return issuer.fencingNumber().has_value(); }));
        return *issuer.fencingNumber();
    }

    /// Sends an order and returns the status of the answer.
    int order(const test::StandinProcess &target, FencingNumber number)
    {
        std::optional<int> status;
        const HttpRequest request{"POST",
                                  "/orders",
                                  {},
                                  {{"Fencing-Number", QByteArray::number(number.value())}},
                                  R"({"models":[],"adapters":[],"role":"decode"})"};
        const auto exchange = client.fetch(
            target.endpoint(), request, {},
            [&](HttpExchangeEnd, const HttpResponse &response) { status = response.status; });
        BOOST_REQUIRE(test::waitFor([&] { return status.has_value(); }));
        return *status;
    }

    test::StandinProcess platform{QStringLiteral("platform")};
    QtTimerService timers;
    HttpClient client{timers};
    HttpKeyValueStore store{timers, platform.endpoint(), Milliseconds(300)};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(OrderOfAPausedHolderIsRefusedAfterOneOfItsSuccessor, Fixture)
{
    const test::StandinProcess target(QStringLiteral("target"));
    auto paused = std::make_unique<IssuerLease>(store, timers, Service, shortTimes());
    paused->start();
    const FencingNumber old = numberOf(*paused);
    paused.reset(); // it renews nothing and wakes up with the number that it had looked up
    IssuerLease successor(store, timers, Service, shortTimes());
    successor.start();
    const FencingNumber next = numberOf(successor);
    BOOST_CHECK(next > old);
    BOOST_CHECK(order(target, next) == 200);
    BOOST_CHECK(order(target, old) == 409);
}

BOOST_FIXTURE_TEST_CASE(TargetThatIgnoresFencingTakesTheOldOrder, Fixture)
{
    // The window, stated: nothing but the holder's early stop keeps such an order away.
    const test::StandinProcess target(QStringLiteral("target"), {"--check_fencing=false"});
    BOOST_CHECK(order(target, FencingNumber(2)) == 200);
    BOOST_CHECK(order(target, FencingNumber(1)) == 200);
}

BOOST_FIXTURE_TEST_CASE(OnlyOneOfTwoIssues, Fixture)
{
    IssuerLease first(store, timers, Service, shortTimes());
    IssuerLease second(store, timers, Service, shortTimes());
    first.start();
    second.start();
    bool both = false;
    int renewals = 0;
    MonotonicTime last = timers.now();
    BOOST_REQUIRE(test::waitFor([&] {
        both = both || (first.fencingNumber() && second.fencingNumber());
        if (timers.now() - last > shortTimes().leaseDuration) {
            last = timers.now();
            ++renewals;
        }
        return renewals == 4;
    }));
    BOOST_CHECK(!both);
    BOOST_CHECK(test::waitFor([&] { return first.fencingNumber() || second.fencingNumber(); }));
}

BOOST_FIXTURE_TEST_CASE(HolderCutOffFromThePlatformStopsAndNeverGetsASmallerNumber, Fixture)
{
    IssuerLease issuer(store, timers, Service, shortTimes());
    issuer.start();
    const FencingNumber old = numberOf(issuer);
    platform.setFaults({{"down", true}});
    BOOST_REQUIRE(test::waitFor([&] { return !issuer.fencingNumber(); }));
    platform.setFaults({{"down", false}});
    // The same again if its lease was renewed before it lapsed, else a greater one.
    BOOST_CHECK(numberOf(issuer) >= old);
}

BOOST_FIXTURE_TEST_CASE(LostAnswerToTheCreationIsSettled, Fixture)
{
    platform.setFaults({{"lose_answers", 1}, {"lose_answers_under", "orders/"}});
    IssuerLease issuer(store, timers, Service, shortTimes());
    issuer.start();
    const FencingNumber number = numberOf(issuer);
    test::StoreCalls calls(store);
    const auto entry = calls.read(QStringLiteral("orders/bulletins/issuer"));
    BOOST_REQUIRE(entry);
    BOOST_CHECK(entry.value().revision.value() == number.value());
}
