// What may be said about whether a request ran, for every way in which a send can fail.
#define BOOST_TEST_MODULE RanTable
#include <boost/test/unit_test.hpp>

#include "delivery/SendFailure.h"

using namespace cranberry;

BOOST_AUTO_TEST_CASE(NoIsSaidOnlyWhenNothingLeftOrTheTargetSaysSo)
{
    BOOST_CHECK(ranAfter(SendFailure::NotConnected) == Ran::No);
    BOOST_CHECK(ranAfter(SendFailure::RefusedBeforeStart) == Ran::No);
    BOOST_CHECK(ranAfter(SendFailure::RefusedAsLeaving) == Ran::No);
    BOOST_CHECK(ranAfter(SendFailure::CancelledBeforeStart) == Ran::No);
    BOOST_CHECK(ranAfter(SendFailure::CancelledAfterStart) == Ran::Yes);
    BOOST_CHECK(ranAfter(SendFailure::ErrorAnswer) == Ran::Maybe);
    BOOST_CHECK(ranAfter(SendFailure::BrokenBeforeAnswer) == Ran::Maybe);
    BOOST_CHECK(ranAfter(SendFailure::MalformedAnswer) == Ran::Maybe);
    BOOST_CHECK(ranAfter(SendFailure::BrokenAfterStart) == Ran::Yes);
}

BOOST_AUTO_TEST_CASE(ExchangesMapToWhereTheyFailed)
{
    BOOST_CHECK(failureOfExchange(HttpExchangeEnd::NotConnected, false)
                == SendFailure::NotConnected);
    BOOST_CHECK(failureOfExchange(HttpExchangeEnd::Broken, false)
                == SendFailure::BrokenBeforeAnswer);
    BOOST_CHECK(failureOfExchange(HttpExchangeEnd::TimedOut, false)
                == SendFailure::BrokenBeforeAnswer);
    BOOST_CHECK(failureOfExchange(HttpExchangeEnd::Malformed, false)
                == SendFailure::MalformedAnswer);
    BOOST_CHECK(failureOfExchange(HttpExchangeEnd::Broken, true) == SendFailure::BrokenAfterStart);
    BOOST_CHECK(failureOfExchange(HttpExchangeEnd::Malformed, true)
                == SendFailure::BrokenAfterStart);
}

BOOST_AUTO_TEST_CASE(OnlyTheTargetsOwnWordMakesARefusal)
{
    // A box on the way answers 503 for a request that it had already passed on: the caller,
    // told "not run", sends again and the clinic gets its alert twice.
    BOOST_CHECK(failureOfAnswer(503, "{\"started\":false}") == SendFailure::RefusedBeforeStart);
    BOOST_CHECK(failureOfAnswer(429, "{\"started\":false}") == SendFailure::RefusedBeforeStart);
    BOOST_CHECK(failureOfAnswer(503, "{\"started\":false,\"leaving\":true}")
                == SendFailure::RefusedAsLeaving);
    BOOST_CHECK(failureOfAnswer(503, "{\"leaving\":true}") == SendFailure::ErrorAnswer);
    BOOST_CHECK(failureOfAnswer(503, "{\"started\":true}") == SendFailure::ErrorAnswer);
    BOOST_CHECK(failureOfAnswer(503, "Service Unavailable") == SendFailure::ErrorAnswer);
    BOOST_CHECK(failureOfAnswer(503, "") == SendFailure::ErrorAnswer);
    BOOST_CHECK(failureOfAnswer(500, "{\"started\":false}") == SendFailure::ErrorAnswer);
}
