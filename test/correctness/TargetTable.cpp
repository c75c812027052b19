// What the target table knows of targets: leaving, death, own sends and other daemons' load.
#define BOOST_TEST_MODULE TargetTable
#include <boost/test/unit_test.hpp>

#include "placement/TargetTable.h"

using namespace cranberry;

namespace {

const TargetId First(QStringLiteral("t1"));
const TargetId Second(QStringLiteral("t2"));
const ModelId Model(QStringLiteral("m"));
const ServiceId Service(QStringLiteral("s"));

LoadReport report(qint64 incarnation, qint64 resident = 0, int running = 0)
{
    LoadReport made;
    made.incarnation = Incarnation(incarnation);
    made.residentTokens = Tokens(resident);
    made.capacityTokens = Tokens(10'000);
    made.running = running;
    return made;
}

struct Fixture {
    Fixture()
    {
        service.policy = PolicyName::LeastRequests;
        configuration.services.insert(Service, service);
        for (const TargetId &target : {First, Second})
            configuration.targets.insert(target, {Service, {}, {}, {Model}});
        table.setConfiguration(configuration);
        request.service = Service;
        request.model = Model;
        request.promptTokens = Tokens(100);
        request.prefixHash = 7;
    }

    Placement decide(const char *attempt)
    {
        return table.decide(AttemptId(QString::fromLatin1(attempt)), request, service, now, 0);
    }

    TargetLoad load(const TargetId &target) const
    {
        for (const TargetLoad &load : table.loadsFor(Model, now)) {
            if (load.target == target)
                return load;
        }
        return {};
    }

    ServiceConfiguration service;
    Configuration configuration;
    PlacementRequest request;
    TargetTable table;
    MonotonicTime now{std::chrono::hours(1)};
};

const AttemptId Attempt(QStringLiteral("a"));

} // namespace

BOOST_FIXTURE_TEST_CASE(LeavingTargetStaysOutUntilANewerIncarnation, Fixture)
{
    // A user sees a request cut short: a target that is leaving is given new work because a
    // late report of the same incarnation, made before it began to leave, seems to clear it.
    table.reportReceived(First, report(3), now);
    BOOST_TEST(table.markLeaving(First, Incarnation(3)));
    BOOST_TEST(!table.usable(First));
    table.reportReceived(First, report(3), now);
    table.markAlive(First);
    BOOST_TEST(!table.usable(First));
    table.reportReceived(First, report(4), now);
    BOOST_TEST(table.usable(First));
    BOOST_TEST(!table.markLeaving(First, Incarnation(3)));
    BOOST_TEST(table.usable(First));
}

BOOST_FIXTURE_TEST_CASE(LeavingByOwnReportIsOutAtOnce, Fixture)
{
    LoadReport leaving = report(3);
    leaving.leaving = true;
    table.reportReceived(First, leaving, now);
    BOOST_TEST(!table.usable(First));
    BOOST_CHECK(decide("a").target == Second);
}

BOOST_FIXTURE_TEST_CASE(LeavingHeardBeforeTheFirstReportHolds, Fixture)
{
    table.markLeaving(First, Incarnation(5));
    table.reportReceived(First, report(5), now);
    BOOST_TEST(!table.usable(First));
    table.reportReceived(First, report(6), now);
    BOOST_TEST(table.usable(First));
}

BOOST_FIXTURE_TEST_CASE(LateReportOfAnOlderIncarnationIsDropped, Fixture)
{
    table.reportReceived(First, report(4, 10), now);
    LoadReport old = report(3, 900);
    old.leaving = true;
    table.reportReceived(First, old, now);
    BOOST_TEST(table.usable(First));
    BOOST_TEST(load(First).residentTokens.value() == 10);
}

BOOST_FIXTURE_TEST_CASE(DeadTargetComesBackWhenSeen, Fixture)
{
    BOOST_TEST(table.markDead(First));
    BOOST_TEST(!table.markDead(First));
    table.reportReceived(First, report(0), now);
    BOOST_TEST(!table.usable(First));
    table.markAlive(First);
    BOOST_TEST(table.usable(First));
}

BOOST_FIXTURE_TEST_CASE(OwnSendsAreCountedFromTheDecisionOn, Fixture)
{
    const TargetId chosen = decide("a").target;
    BOOST_TEST(load(chosen).ownPrefillTokens.value() == 100);
    table.tokenReceived(Attempt);
    table.tokenReceived(Attempt);
    BOOST_TEST(load(chosen).ownPrefillTokens.value() == 0);
    BOOST_TEST(load(chosen).ownResidentTokens.value() == 102);
    BOOST_CHECK(decide("b").target != chosen);
    table.attemptEnded(Attempt, AttemptEnd::Finished, now);
    table.attemptEnded(Attempt, AttemptEnd::Finished, now);
    BOOST_TEST(load(chosen).ownRequests == 0);
    BOOST_TEST(load(chosen).ownResidentTokens.value() == 0);
}

BOOST_FIXTURE_TEST_CASE(OwnRequestsInALateReportAreNotTakenForOthers, Fixture)
{
    table.attemptSent(First, Attempt, request, now);
    now += Milliseconds(1000);
    table.attemptEnded(Attempt, AttemptEnd::Finished, now);
    // The report was made while the request still ran and arrives after its end.
    LoadReport late = report(1, 600, 2);
    late.age = Milliseconds(500);
    table.reportReceived(First, late, now);
    BOOST_TEST(load(First).residentTokens.value() == 500);
    BOOST_TEST(load(First).remoteRequests == 1);
    now += Milliseconds(1000);
    table.reportReceived(First, report(1, 600, 2), now);
    BOOST_TEST(load(First).residentTokens.value() == 600);
}

BOOST_FIXTURE_TEST_CASE(RemovedTargetGetsNoWorkAndItsSendsAreFollowed, Fixture)
{
    table.attemptSent(First, Attempt, request, now);
    configuration.targets.remove(First);
    table.setConfiguration(configuration);
    BOOST_TEST(!table.usable(First));
    BOOST_TEST(table.loadsFor(Model, now).size() == 1);
    table.tokenReceived(Attempt);
    table.attemptEnded(Attempt, AttemptEnd::Incomplete, now);
    table.attemptEnded(Attempt, AttemptEnd::Incomplete, now);
}

BOOST_FIXTURE_TEST_CASE(PlainServiceIsLookedUpByService, Fixture)
{
    BOOST_TEST(table.loadsFor(Service, now).size() == 2);
    request.model = ModelId();
    BOOST_CHECK(decide("a").outcome == PlacementOutcome::Chosen);
}
