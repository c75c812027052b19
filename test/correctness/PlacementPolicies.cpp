// The named policies: what each chooses, and when forecast lets a request wait.
#define BOOST_TEST_MODULE PlacementPolicies
#include <boost/test/unit_test.hpp>

#include "placement/ForecastPolicy.h"
#include "placement/PlacementPolicy.h"

#include <set>

using namespace cranberry;

namespace {

constexpr qint64 Capacity = 10'000;

TargetId targetId(int number)
{
    return TargetId(QStringLiteral("t%1").arg(number));
}

TargetLoad load(int number, int requests, double filled)
{
    TargetLoad made;
    made.target = targetId(number);
    made.capacityTokens = Tokens(Capacity);
    made.remoteRequests = requests;
    made.forecast.mean.fill(filled * double(Capacity));
    return made;
}

ServiceConfiguration service(PolicyName policy)
{
    ServiceConfiguration made;
    made.policy = policy;
    return made;
}

PlacementRequest request(double expectedMemory = 100)
{
    PlacementRequest made;
    made.promptTokens = Tokens(100);
    made.expectedMemory.mean.fill(expectedMemory);
    return made;
}

Placement forecast(const QList<TargetLoad> &targets, const PlacementRequest &what = request(),
                   Objective objective = Objective::Stall)
{
    ServiceConfiguration configured = service(PolicyName::Forecast);
    configured.objective = objective;
    return place(what, configured, targets, 0);
}

} // namespace

BOOST_AUTO_TEST_CASE(RoundRobinTakesEachInTurn)
{
    const QList<TargetLoad> targets{load(0, 9, 0), load(1, 0, 0), load(2, 5, 0)};
    std::set<QString> seen;
    for (quint64 turn = 0; turn < 3; ++turn)
        seen.insert(place(request(), service(PolicyName::RoundRobin), targets, turn).target.text());
    BOOST_TEST(seen.size() == 3);
}

BOOST_AUTO_TEST_CASE(LeastRequestsCountsReportAndOwnSends)
{
    QList<TargetLoad> targets{load(0, 3, 0), load(1, 2, 0)};
    targets[1].ownRequests = 2;
    for (quint64 draw = 0; draw < 4; ++draw) {
        const Placement chosen =
            place(request(), service(PolicyName::LeastRequests), targets, draw);
        BOOST_CHECK(chosen.target == targetId(0));
    }
}

BOOST_AUTO_TEST_CASE(TwoChoicesNeverTakesTheWorst)
{
    const QList<TargetLoad> targets{load(0, 1, 0), load(1, 9, 0), load(2, 5, 0)};
    for (quint64 draw = 0; draw < 60; ++draw) {
        const Placement chosen = place(request(), service(PolicyName::TwoChoices), targets, draw);
        BOOST_CHECK(chosen.target != targetId(1));
    }
}

BOOST_AUTO_TEST_CASE(ExcludedTargetsAreNotChosen)
{
    PlacementRequest retry = request();
    retry.excluded = {targetId(0)};
    const QList<TargetLoad> targets{load(0, 0, 0), load(1, 9, 0.5)};
    BOOST_CHECK(forecast(targets, retry).target == targetId(1));
    retry.excluded.insert(targetId(1));
    BOOST_CHECK(forecast(targets, retry).outcome == PlacementOutcome::NoUsableTarget);
}

BOOST_AUTO_TEST_CASE(ForecastTakesTheTargetUnderLeastPressure)
{
    const QList<TargetLoad> targets{load(0, 1, 0.8), load(1, 9, 0.4)};
    BOOST_CHECK(forecast(targets).target == targetId(1));
}

BOOST_AUTO_TEST_CASE(ForecastWaitsWhereMemoryMayRunOut)
{
    // Drafts stall in the middle: the target had room when they were placed, and all of them
    // grew. Room now is not enough; room at each moment ahead is.
    TargetLoad grows = load(0, 9, 0.5);
    grows.forecast.mean[4] = 0.995 * double(Capacity);
    BOOST_CHECK(forecast({grows}).outcome == PlacementOutcome::Wait);
    TargetLoad uncertain = load(0, 9, 0.8);
    uncertain.forecast.variance.fill(0.15 * 0.15 * double(Capacity) * double(Capacity));
    BOOST_CHECK(forecast({uncertain}).outcome == PlacementOutcome::Wait);
    uncertain.forecast.variance.fill(0);
    BOOST_CHECK(forecast({uncertain}).outcome == PlacementOutcome::Chosen);
}

BOOST_AUTO_TEST_CASE(EmptyTargetTakesARequestThatNeverFits)
{
    BOOST_CHECK(forecast({load(0, 0, 0)}, request(2.0 * double(Capacity))).outcome
                == PlacementOutcome::Chosen);
}

BOOST_AUTO_TEST_CASE(PreferredTargetGoesFirstWhileItHasRoom)
{
    TargetLoad preferred = load(0, 9, 0.8);
    preferred.preferredForPrefix = true;
    BOOST_CHECK(forecast({preferred, load(1, 1, 0.2)}).target == targetId(0));
    preferred.forecast.mean.fill(double(Capacity));
    BOOST_CHECK(forecast({preferred, load(1, 1, 0.2)}).target == targetId(1));
    PlacementRequest picky = request();
    picky.preferredOnly = true;
    BOOST_CHECK(forecast({preferred, load(1, 1, 0.2)}, picky).outcome == PlacementOutcome::Wait);
}

BOOST_AUTO_TEST_CASE(PromptWorkIsBudgetedForInterTokenTime)
{
    // Brokers watch a recap pause each time a burst of prompts arrives on its target.
    TargetLoad busy = load(0, 9, 0.2);
    busy.ownPrefillTokens = Tokens(480);
    BOOST_CHECK(forecast({busy}, request(), Objective::InterToken).outcome
                == PlacementOutcome::Wait);
    BOOST_CHECK(forecast({busy}, request(), Objective::Stall).outcome == PlacementOutcome::Chosen);
}

BOOST_AUTO_TEST_CASE(NearDataCentreBreaksTies)
{
    PlacementRequest here = request();
    here.dataCentre = DataCentreId(QStringLiteral("dc1"));
    TargetLoad near = load(1, 1, 0.5);
    near.dataCentre = here.dataCentre;
    BOOST_CHECK(forecast({load(0, 1, 0.5), near}, here).target == targetId(1));
    near.forecast.mean.fill(0.52 * double(Capacity));
    BOOST_CHECK(forecast({load(0, 1, 0.5), near}, here).target == targetId(0));
}
