// Guards against targets that load the wrong adapter: the daemon that issues orders is paused after
// its last check of the clock, its lease expires, another daemon becomes the issuer and sends a
// newer order, and then the first one resumes and sends its old order. The fencing number tells the
// old order from the new one; a target that ignores it accepts the old one, a window that the lease
// times keep small.
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

    FencingNumber awaitFencingNumber(const IssuerLease &issuer)
    {
        BOOST_REQUIRE(test::waitFor([&] { return issuer.fencingNumber().has_value(); }));
        return *issuer.fencingNumber();
    }

    /// Sends an order and returns the status of the answer.
    int sendOrder(const test::StandinProcess &target, FencingNumber number)
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
    const FencingNumber oldNumber = awaitFencingNumber(*paused);
    paused.reset(); // stops the renewals; oldNumber was read before
    IssuerLease successor(store, timers, Service, shortTimes());
    successor.start();
    const FencingNumber nextNumber = awaitFencingNumber(successor);
    BOOST_CHECK(nextNumber > oldNumber);
    BOOST_CHECK(sendOrder(target, nextNumber) == 200);
    BOOST_CHECK(sendOrder(target, oldNumber) == 409);
}

BOOST_FIXTURE_TEST_CASE(TargetThatIgnoresFencingTakesTheOldOrder, Fixture)
{
    // Shows the remaining window: nothing but the holder's early stop prevents such an order.
    const test::StandinProcess target(QStringLiteral("target"), {"--check_fencing=false"});
    BOOST_CHECK(sendOrder(target, FencingNumber(2)) == 200);
    BOOST_CHECK(sendOrder(target, FencingNumber(1)) == 200);
}

BOOST_FIXTURE_TEST_CASE(OnlyOneOfTwoIssues, Fixture)
{
    IssuerLease first(store, timers, Service, shortTimes());
    IssuerLease second(store, timers, Service, shortTimes());
    first.start();
    second.start();
    bool hasTwoIssuers = false;
    int leasePeriods = 0;
    MonotonicTime periodStart = timers.now();
    BOOST_REQUIRE(test::waitFor([&] {
        hasTwoIssuers = hasTwoIssuers || (first.fencingNumber() && second.fencingNumber());
        if (timers.now() - periodStart > shortTimes().leaseDuration) {
            periodStart = timers.now();
            ++leasePeriods;
        }
        return leasePeriods == 4;
    }));
    BOOST_CHECK(!hasTwoIssuers);
    BOOST_CHECK(test::waitFor([&] { return first.fencingNumber() || second.fencingNumber(); }));
}

BOOST_FIXTURE_TEST_CASE(HolderCutOffFromThePlatformStopsAndNeverGetsASmallerNumber, Fixture)
{
    IssuerLease issuer(store, timers, Service, shortTimes());
    issuer.start();
    const FencingNumber oldNumber = awaitFencingNumber(issuer);
    platform.setFaults({{"down", true}});
    BOOST_REQUIRE(test::waitFor([&] { return !issuer.fencingNumber(); }));
    platform.setFaults({{"down", false}});
    // The same number if the lease was renewed before it expired, else a greater one.
    BOOST_CHECK(awaitFencingNumber(issuer) >= oldNumber);
}

BOOST_FIXTURE_TEST_CASE(LostAnswerToTheCreationIsSettled, Fixture)
{
    platform.setFaults({{"lose_answers", 1}, {"lose_answers_under", "orders/"}});
    IssuerLease issuer(store, timers, Service, shortTimes());
    issuer.start();
    const FencingNumber number = awaitFencingNumber(issuer);
    test::StoreCalls calls(store);
    const auto entry = calls.read(QStringLiteral("orders/bulletins/issuer"));
    BOOST_REQUIRE(entry);
    BOOST_CHECK(entry.value().revision.value() == number.value());
}
