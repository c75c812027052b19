// How long answers are believed to be, and the memory forecast that follows from it.
#define BOOST_TEST_MODULE LengthModel
#include <boost/test/unit_test.hpp>

#include "placement/LengthModel.h"
#include "placement/MemoryForecast.h"

using namespace cranberry;

namespace {

const LengthKey Short{ServiceId(QStringLiteral("s")), ModelId(QStringLiteral("m")),
                      WorkspaceId(QStringLiteral("short"))};
const LengthKey Long{Short.service, Short.model, WorkspaceId(QStringLiteral("long"))};
const LengthKey Unknown{Short.service, Short.model, WorkspaceId(QStringLiteral("unknown"))};
constexpr int Samples = 500;

double meanOf(const LengthModel &model, const LengthKey &key, qint64 maxTokens = 0)
{
    return remainingLength(model.distribution(key, Tokens(maxTokens)), Tokens(0)).mean;
}

LengthModel learnt()
{
    LengthModel model;
    for (int i = 0; i < Samples; ++i) {
        model.addCompleted(Short, Tokens(45 + i % 10));
        model.addCompleted(Long, Tokens(900 + i % 200));
    }
    return model;
}

} // namespace

BOOST_AUTO_TEST_CASE(EachWorkspaceIsKnownByItsOwnAnswers)
{
    const LengthModel model = learnt();
    // Bins are a factor 1.6 wide, and a thin part of the wider group is always blended in.
    BOOST_TEST(meanOf(model, Short) < 120);
    BOOST_TEST(meanOf(model, Short) > 35);
    BOOST_TEST(meanOf(model, Long) < 1500);
    BOOST_TEST(meanOf(model, Long) > 700);
}

BOOST_AUTO_TEST_CASE(NewWorkspaceStartsFromTheWiderGroup)
{
    const LengthModel model = learnt();
    BOOST_TEST(meanOf(model, Unknown) > meanOf(model, Short));
    BOOST_TEST(meanOf(model, Unknown) < meanOf(model, Long));
}

BOOST_AUTO_TEST_CASE(OldLengthsFade)
{
    LengthModel model = learnt();
    for (int i = 0; i < 5 * Samples; ++i)
        model.addCompleted(Short, Tokens(2000));
    BOOST_TEST(meanOf(model, Short) > 1500);
}

BOOST_AUTO_TEST_CASE(BoundCutsTheBelief)
{
    const LengthModel model = learnt();
    BOOST_TEST(meanOf(model, Long, 200) <= 330);
    const LengthDistribution bounded = model.distribution(Long, Tokens(200));
    BOOST_TEST(survivalAt(bounded, 400) == 0.0);
}

BOOST_AUTO_TEST_CASE(CutOffAnswersCountAsLonger)
{
    // Callers give up on long answers. If those were dropped the model would only see short
    // ones, admit too much, and targets would run out of memory.
    LengthModel dropped = learnt();
    LengthModel counted = learnt();
    for (int i = 0; i < Samples; ++i) {
        dropped.addCompleted(Unknown, Tokens(20));
        counted.addCompleted(Unknown, Tokens(20));
        counted.addCensored(Unknown, Tokens(500));
    }
    BOOST_TEST(meanOf(counted, Unknown) > 4 * meanOf(dropped, Unknown));
}

BOOST_AUTO_TEST_CASE(RemainingLengthGrowsWithWhatIsOutlived)
{
    LengthModel model;
    for (int i = 0; i < Samples; ++i)
        model.addCompleted(Short, Tokens(i % 10 == 0 ? 3000 : 50));
    const LengthDistribution length = model.distribution(Short, Tokens(0));
    const double atStart = remainingLength(length, Tokens(0)).mean;
    const double outlived = remainingLength(length, Tokens(200)).mean;
    BOOST_TEST(outlived > 2 * atStart);
    BOOST_TEST(conditionalSurvival(length, Tokens(200), 500) > 0.7);
}

BOOST_AUTO_TEST_CASE(SurvivalNeverRises)
{
    const LengthDistribution length = learnt().distribution(Unknown, Tokens(0));
    double previous = 1;
    for (double tokens = 0; tokens < 70'000; tokens = tokens * 1.3 + 1) {
        const double alive = survivalAt(length, tokens);
        BOOST_TEST(alive <= previous + 1e-12);
        previous = alive;
    }
    BOOST_TEST(survivalAt(length, MaxLengthTokens) == 0.0);
    BOOST_TEST(steadyStateSurvival(length, 0) == 1.0);
    BOOST_TEST(steadyStateSurvival(length, 1000) < steadyStateSurvival(length, 100));
}

BOOST_AUTO_TEST_CASE(GroupsAreBounded)
{
    LengthModel model;
    constexpr int Many = 70'000;
    for (int i = 0; i < Many; ++i) {
        model.addCompleted({Short.service, Short.model, WorkspaceId(QString::number(i))},
                           Tokens(10));
    }
    BOOST_TEST(model.groupCount() <= 32'768);
    model.addCompleted(Long, Tokens(10));
    BOOST_TEST(model.groupCount() <= 32'769);
}

BOOST_AUTO_TEST_CASE(ForecastsAddUpAndTakeApart)
{
    const LengthDistribution length = learnt().distribution(Long, Tokens(0));
    const MemoryForecast one = forecastRequest(length, Tokens(300), Tokens(0));
    MemoryForecast sum = one;
    sum += one;
    BOOST_TEST(memoryPressure(sum, Tokens(10'000), 0) == 2 * memoryPressure(one, Tokens(10'000), 0),
               boost::test_tools::tolerance(1e-9));
    // Independent lengths: the margin of two is less than twice that of one.
    BOOST_TEST(memoryPressure(sum, Tokens(10'000), 3) < 2 * memoryPressure(one, Tokens(10'000), 3));
    sum -= one;
    BOOST_TEST(sum.mean[3] == one.mean[3], boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(MarginFollowsTheAcceptedChance)
{
    BOOST_TEST(normalUpperQuantile(0.02) == 2.054, boost::test_tools::tolerance(0.001));
    BOOST_TEST(normalUpperQuantile(0.5) == 0.0);
}
