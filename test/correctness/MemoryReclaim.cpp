// Which requests find room, and what is freed for them.
#define BOOST_TEST_MODULE MemoryReclaim
#include <boost/test/unit_test.hpp>

#include "http/MemoryReclaim.h"

using namespace cranberry;

namespace {

constexpr Bytes Capacity{8'000'000};
constexpr Bytes Small{2'000};
constexpr Bytes Large{1'000'000};

} // namespace

// Guards against a request inside the limits that is rejected though nothing else is held.
BOOST_AUTO_TEST_CASE(ALoneRequestFindsRoom)
{
    BOOST_TEST(hasRoom(Bytes(0), Bytes(20'000'000), Capacity));
    BOOST_TEST(hasRoom(Bytes(1'000'000), Bytes(20'000'000), Capacity));
    BOOST_TEST(!hasRoom(Bytes(1'000'001), Bytes(20'000'000), Capacity));
}

// Guards against large requests that leave no room for ordinary ones.
BOOST_AUTO_TEST_CASE(LargeRequestsLeaveRoomForSmallOnes)
{
    const Bytes held(6'500'000);
    BOOST_TEST(!hasRoom(held, Large, Capacity));
    BOOST_TEST(hasRoom(held, Small, Capacity));
    BOOST_TEST(!hasRoom(Capacity, Small, Capacity));
}

// Guards against ordinary callers that are rejected before those that hold much for long.
BOOST_AUTO_TEST_CASE(ThoseThatHoldMostForLongestGoFirst)
{
    const std::vector<ReclaimCandidate> candidates{{Small, Milliseconds(10)},
                                                   {Large, Milliseconds(10)},
                                                   {Large, Milliseconds(20'000)},
                                                   {Bytes(100'000), Milliseconds(60'000)}};
    const std::vector<std::size_t> one{2};
    BOOST_TEST(chooseReclaims(candidates, Bytes(1)) == one, boost::test_tools::per_element());
    const std::vector<std::size_t> three{2, 3, 1};
    BOOST_TEST(chooseReclaims(candidates, Bytes(2'100'000)) == three,
               boost::test_tools::per_element());
    BOOST_TEST(chooseReclaims(candidates, Capacity).size() == candidates.size());
    BOOST_TEST(chooseReclaims(candidates, Bytes(0)).empty());
}
