// Keys that are older than claims are kept.
#define BOOST_TEST_MODULE OldKeys
#include <boost/test/unit_test.hpp>

#include "gateway/ArrivalTime.h"
#include "gateway/CallerHeaders.h"

using namespace cranberry;

namespace {

/// Made at 1 January 2026, 00:00:00 UTC.
const QByteArray NewYearKey = "019b76da-a800-7000-8000-000000000000";
constexpr qint64 NewYearMs = 1767225600000;
constexpr qint64 HourMs = 3'600'000;

} // namespace

BOOST_AUTO_TEST_CASE(KeyOfTheDayBeforeYesterdayIsRefused)
{
    // A client wakes after two days and sends its alert again with the key it had. The claim is
    // forgotten by then, so the alert would go out a second time.
    const Result<void> checked = checkAtMostOnceKey(NewYearKey, {{}, NewYearMs + 48 * HourMs});
    BOOST_REQUIRE(!checked);
    BOOST_CHECK(checked.error().kind == ErrorKind::BadHeader);
    BOOST_CHECK(checked.error().ran == Ran::No);
    BOOST_TEST(checked.error().field.toStdString() == "Idempotency-Key");
}

BOOST_AUTO_TEST_CASE(KeysOfTodayAndKeysWithoutATimePass)
{
    BOOST_TEST(bool(checkAtMostOnceKey(NewYearKey, {{}, NewYearMs + HourMs})));
    BOOST_TEST(bool(checkAtMostOnceKey("order-17", {{}, NewYearMs})));
}
