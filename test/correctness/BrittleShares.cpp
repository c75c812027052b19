// Tests that the parts of the room of brittle targets are disjoint and complete.
#define BOOST_TEST_MODULE BrittleShares
#include <boost/test/unit_test.hpp>

#include "relay/BrittleShare.h"

#include <random>

using namespace cranberry;

BOOST_AUTO_TEST_CASE(AllDaemonsTogetherHaveTheSlotsOfEachTarget)
{
    std::mt19937 random(3);
    for (int round = 0; round < 2000; ++round) {
        const int daemons = 1 + int(random() % 40);
        QList<int> slots;
        for (quint32 target = 0; target <= random() % 12; ++target)
            slots.append(1 + int(random() % 30));
        std::vector<int> ofDaemon(size_t(daemons), 0);
        int all = 0;
        for (qsizetype target = 0; target < slots.size(); ++target) {
            int sum = 0;
            for (int rank = 0; rank < daemons; ++rank) {
                const int share = brittleShare(slots, target, rank, daemons);
                BOOST_TEST_REQUIRE(share >= 0);
                sum += share;
                ofDaemon[size_t(rank)] += share;
            }
            BOOST_TEST_REQUIRE(sum == slots[target]);
            all += slots[target];
        }
        // No daemon has more than its part of all slots.
        for (const int own : ofDaemon)
            BOOST_TEST_REQUIRE((own == all / daemons || own == all / daemons + 1));
    }
}

BOOST_AUTO_TEST_CASE(TheNewerAnswerDecides)
{
    const MonotonicTime start = MonotonicTime() + std::chrono::hours(1);
    const BrittleEvidence brittle{3, start};
    const BrittleEvidence robust{std::nullopt, start + Milliseconds(1)};
    BOOST_TEST(!newerEvidence(brittle, robust).rejectionsPerSecond.has_value());
    BOOST_TEST(!newerEvidence(robust, brittle).rejectionsPerSecond.has_value());
}
