// The order in which waiting requests are tried, and the sort that it is used with.
#define BOOST_TEST_MODULE WaitingOrder
#include <boost/test/unit_test.hpp>

#include "base/StableSortByKey.h"
#include "relay/WaitingRank.h"

#include <functional>

using namespace cranberry;
using namespace std::chrono_literals;

namespace {

const MonotonicTime Now{1h};

WaitingRank onTime(int priority, qint64 expectedOutput, MonotonicTime arrived = Now)
{
    return {false, priority, Tokens(expectedOutput), arrived};
}

WaitingRank overdue(int priority, qint64 expectedOutput, MonotonicTime arrived = Now)
{
    return {true, priority, Tokens(expectedOutput), arrived};
}

/// Every combination of a few values of each member.
std::vector<WaitingRank> allRanks()
{
    std::vector<WaitingRank> ranks;
    for (const bool isOverdue : {false, true})
        for (const int priority : {0, 1, 2})
            for (const qint64 expectedOutput : {0, 12, 940})
                for (const MonotonicTime arrived : {Now - 2s, Now})
                    ranks.push_back({isOverdue, priority, Tokens(expectedOutput), arrived});
    return ranks;
}

} // namespace

BOOST_AUTO_TEST_CASE(RequestsOnTimeComeFirst)
{
    BOOST_TEST(isServedBefore(onTime(2, 940), overdue(0, 12)));
    BOOST_TEST(!isServedBefore(overdue(0, 12), onTime(2, 940)));
}

BOOST_AUTO_TEST_CASE(RequestsOnTimeAreOrderedByPriorityThenByOutput)
{
    BOOST_TEST(isServedBefore(onTime(0, 940), onTime(1, 12)));
    BOOST_TEST(isServedBefore(onTime(1, 12, Now), onTime(1, 940, Now - 2s)));
}

BOOST_AUTO_TEST_CASE(OverdueRequestsAreOrderedByArrival)
{
    BOOST_TEST(isServedBefore(overdue(2, 940, Now - 2s), overdue(0, 12, Now)));
}

// Guards against a crash of the sort: its behaviour is undefined unless the order is a strict weak
// ordering.
BOOST_AUTO_TEST_CASE(OrderIsAStrictWeakOrdering)
{
    const std::vector<WaitingRank> ranks = allRanks();
    const auto isEquivalent = [](const WaitingRank &a, const WaitingRank &b) {
        return !isServedBefore(a, b) && !isServedBefore(b, a);
    };
    for (const WaitingRank &a : ranks) {
        BOOST_REQUIRE(!isServedBefore(a, a));
        for (const WaitingRank &b : ranks) {
            BOOST_REQUIRE(!(isServedBefore(a, b) && isServedBefore(b, a)));
            for (const WaitingRank &c : ranks) {
                if (isServedBefore(a, b) && isServedBefore(b, c))
                    BOOST_REQUIRE(isServedBefore(a, c));
                if (isEquivalent(a, b) && isEquivalent(b, c))
                    BOOST_REQUIRE(isEquivalent(a, c));
            }
        }
    }
}

// Guards against a crash of the sort: a key that depends on the clock changed between two
// comparisons of the same elements.
BOOST_AUTO_TEST_CASE(KeysAreComputedOncePerElement)
{
    QList<int> elements{5, 3, 1, 4, 2};
    int clock = 0;
    stableSortByKey(
        elements, [&clock](int) { return ++clock; }, std::greater<int>());
    BOOST_TEST(clock == 5);
    BOOST_TEST((elements == QList<int>{2, 4, 1, 3, 5}));
}

BOOST_AUTO_TEST_CASE(ElementsWithEqualKeysKeepTheirOrder)
{
    QList<QByteArray> elements{"b2", "a1", "b1", "a2"};
    stableSortByKey(
        elements, [](const QByteArray &text) { return text.at(0); }, std::less<char>());
    BOOST_TEST((elements == QList<QByteArray>{"a1", "a2", "b2", "b1"}));
}

BOOST_AUTO_TEST_CASE(EmptyListStaysEmpty)
{
    QList<QByteArray> elements;
    stableSortByKey(
        elements, [](const QByteArray &text) { return text.size(); }, std::less<qsizetype>());
    BOOST_TEST(elements.isEmpty());
}
