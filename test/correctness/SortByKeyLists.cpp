// What stableSortByKey() does to the list that it sorts and to copies of it.
#define BOOST_TEST_MODULE SortByKeyLists
#include <boost/test/unit_test.hpp>

#include "base/StableSortByKey.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <stdexcept>

using namespace cranberry;

namespace {

QList<std::shared_ptr<int>> sharedNumbers(int count, unsigned seed)
{
    std::mt19937 random(seed);
    QList<std::shared_ptr<int>> numbers;
    for (int i = 0; i < count; ++i)
        numbers.append(std::make_shared<int>(int(random() % 10)));
    return numbers;
}

int valueOf(const std::shared_ptr<int> &number)
{
    return *number;
}

} // namespace

// Requests are shared between the list and the component that owns them.
BOOST_AUTO_TEST_CASE(CopyOfTheListKeepsItsOrder)
{
    QList<std::shared_ptr<int>> sorted = sharedNumbers(50, 1);
    const QList<std::shared_ptr<int>> copy = sorted;
    const QList<std::shared_ptr<int>> before(copy.begin(), copy.end());
    stableSortByKey(sorted, valueOf, std::less<int>());
    BOOST_TEST((copy == before));
    BOOST_TEST((sorted != before));
}

BOOST_AUTO_TEST_CASE(NoElementIsLostOrKept)
{
    QList<std::shared_ptr<int>> sorted = sharedNumbers(300, 2);
    const QList<std::shared_ptr<int>> before(sorted.begin(), sorted.end());
    stableSortByKey(sorted, valueOf, std::less<int>());
    BOOST_TEST(std::is_permutation(sorted.begin(), sorted.end(), before.begin(), before.end()));
    for (const auto &number : before)
        BOOST_TEST(number.use_count() == 2);
}

BOOST_AUTO_TEST_CASE(SameOrderAsStableSort)
{
    for (unsigned seed = 0; seed < 200; ++seed) {
        QList<std::shared_ptr<int>> sorted = sharedNumbers(int(seed), seed);
        QList<std::shared_ptr<int>> expected(sorted.begin(), sorted.end());
        std::stable_sort(expected.begin(), expected.end(),
                         [](const auto &a, const auto &b) { return *a > *b; });
        stableSortByKey(sorted, valueOf, std::greater<int>());
        BOOST_REQUIRE(sorted == expected);
    }
}

BOOST_AUTO_TEST_CASE(FailureOfAKeyLeavesTheListUnchanged)
{
    QList<int> numbers{3, 2, 1};
    const auto failing = [](int number) {
        if (number == 1)
            throw std::runtime_error("no key");
        return number;
    };
    BOOST_CHECK_THROW(stableSortByKey(numbers, failing, std::less<int>()), std::runtime_error);
    BOOST_TEST((numbers == QList<int>{3, 2, 1}));
}
