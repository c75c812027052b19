// Tests the decisions of admission control: order, estimates, shares, returns, speeds and causes of
// late answers.
#define BOOST_TEST_MODULE FleetAdmission
#include <boost/test/unit_test.hpp>

#include "admission/DemandRecorder.h"
#include "admission/FleetDemand.h"
#include "admission/ReturnPromises.h"
#include "admission/TargetSpeed.h"
#include "admission/WorkspaceUsage.h"
#include "relay/DemandMessage.h"
#include "relay/LateCause.h"
#include "relay/RelayRoute.h"

#include <QCborArray>
#include <QCborValue>

#include <limits>
#include <vector>

using namespace cranberry;
using namespace std::chrono_literals;

namespace {

const MonotonicTime Now{1h};
constexpr quint64 Fingerprint = 77;

FleetDemand demandOf(const DaemonDemand &peer)
{
    FleetDemand demand;
    demand.peers.insert(VmId("peer"), peer);
    return demand;
}

DaemonDemand waitingOf(const WaitingWork &work, MonotonicTime reportedAt = Now)
{
    DaemonDemand demand;
    demand.waiting = {work};
    demand.reportedAt = reportedAt;
    return demand;
}

ReturnPromise promiseIn(Milliseconds delay, bool isFirm = true)
{
    ReturnPromise promise;
    promise.fingerprint = Fingerprint;
    promise.due = Now + delay;
    promise.callerTime = 6000ms;
    promise.roomSeconds = 5;
    promise.isFirm = isFirm;
    return promise;
}

} // namespace

BOOST_AUTO_TEST_CASE(OrderIsByLevelThenReturnThenAge)
{
    const Urgency urgent{0, ReturnKind::Early, Now};
    const Urgency returned{2, ReturnKind::AsTold, Now};
    const Urgency older{2, ReturnKind::New, Now - 1s};
    const Urgency newer{2, ReturnKind::New, Now};
    const Urgency early{2, ReturnKind::Early, Now - 2s};
    const std::vector<Urgency> order{urgent, returned, older, newer, early};
    for (std::size_t a = 0; a < order.size(); ++a) {
        for (std::size_t b = 0; b < order.size(); ++b)
            BOOST_TEST(isMoreUrgent(order[a], order[b]) == (a < b));
    }
}

BOOST_AUTO_TEST_CASE(MoreUrgentAndOlderWorkOfOthersGoesAhead)
{
    const Urgency mine{2, ReturnKind::New, Now - 250ms};
    const WaitingWork urgent{0, ReturnKind::New, 3, {30, 60}, Now};
    BOOST_TEST(workAhead(demandOf(waitingOf(urgent)), mine, Now).room == 30);
    const WaitingWork lessUrgent{3, ReturnKind::New, 3, {30, 60}, Now - 5s};
    BOOST_TEST(workAhead(demandOf(waitingOf(lessUrgent)), mine, Now).room == 0);
    // Three quarters of the second since the oldest passed before this request arrived.
    const WaitingWork equal{2, ReturnKind::New, 4, {40, 80}, Now - 1s};
    const Work ahead = workAhead(demandOf(waitingOf(equal)), mine, Now);
    BOOST_TEST(ahead.room == 30);
    BOOST_TEST(ahead.roomSeconds == 60);
    BOOST_TEST(workAhead(demandOf(waitingOf(equal)), {2, ReturnKind::AsTold, Now}, Now).room == 0);
}

// Guards against short answers that wait, or are rejected, behind long ones that cannot use the
// gap.
BOOST_AUTO_TEST_CASE(OnlyBriefWorkGoesBeforeBriefRequests)
{
    Urgency brief{5, ReturnKind::New, Now};
    brief.isBrief = true;
    WaitingWork work{0, ReturnKind::New, 3, {30, 60}, Now - 1s};
    BOOST_TEST(workAhead(demandOf(waitingOf(work)), brief, Now).room == 0);
    work.isBrief = true;
    BOOST_TEST(workAhead(demandOf(waitingOf(work)), brief, Now).room == 30);
    FleetDemand demand;
    demand.own.placements = 50;
    demand.own.placed = {{0, 60, false}, {0, 20, true}, {5, 20, true}};
    BOOST_TEST(*placedPerSecond(demand, brief, Now) == 80);
    BOOST_TEST(*placedPerSecond(demand, {5}, Now) == 20);
}

// Guards against daemons that are gone and keep room from others.
BOOST_AUTO_TEST_CASE(OldReportsDoNotCount)
{
    const WaitingWork urgent{0, ReturnKind::New, 3, {30, 60}, Now};
    const FleetDemand demand = demandOf(waitingOf(urgent, Now - DemandTimeout - 1ms));
    BOOST_TEST(workAhead(demand, {2, ReturnKind::New, Now}, Now).room == 0);
    BOOST_TEST(!hasWaiting(demand, Now));
}

BOOST_AUTO_TEST_CASE(RoomIsLeftToThoseAheadUnlessTheyLeaveItUnused)
{
    BOOST_TEST(mayTakeRoom(1, 0, 1, 0ms));
    BOOST_TEST(!mayTakeRoom(1, 1, 1, 0ms));
    BOOST_TEST(mayTakeRoom(2, 1, 1, 0ms));
    BOOST_TEST(mayTakeRoom(1, 5, 1, MaxIdleRoom));
    BOOST_TEST(!mayTakeRoom(0, 0, 1, MaxIdleRoom));
}

BOOST_AUTO_TEST_CASE(WaitIsExpectedFromTheRateOfPlacementsWhileRequestsWait)
{
    DemandRecorder recorder;
    recordBusy(recorder, false, Now);
    recordPlaced(recorder, {}, 1000, Now + 10ms);
    recordBusy(recorder, true, Now + 20ms);
    for (int i = 1; i <= 100; ++i)
        recordPlaced(recorder, {}, 10, Now + 20ms + i * 100ms);
    const MonotonicTime end = Now + 20ms + 10s;
    FleetDemand demand;
    setRates(demand.own, recorder, end);
    const std::optional<Milliseconds> wait = expectedWait(demand, {}, 200, end);
    BOOST_REQUIRE(wait.has_value());
    BOOST_TEST(wait->count() > 1800);
    BOOST_TEST(wait->count() < 2200);
}

// Guards against estimates that are too long as targets first work off what they had queued:
// nothing is placed in that time, which says nothing about the rate.
BOOST_AUTO_TEST_CASE(TimeBeforeTheFirstPlacementIsNotCounted)
{
    DemandRecorder recorder;
    recordBusy(recorder, true, Now);
    const MonotonicTime first = Now + 4s;
    for (int i = 0; i <= 10; ++i)
        recordPlaced(recorder, {}, 1, first + i * 100ms);
    FleetDemand demand;
    setRates(demand.own, recorder, first + 1s);
    const std::optional<double> rate = placedPerSecond(demand, {0}, first + 1s);
    BOOST_REQUIRE(rate.has_value());
    BOOST_TEST(*rate > 9);
    BOOST_TEST(*rate < 11);
}

BOOST_AUTO_TEST_CASE(LessUrgentWorkGetsWhatMoreUrgentWorkLeaves)
{
    FleetDemand demand;
    demand.own.placements = 50;
    demand.own.placed = {{0, 60}, {2, 30}, {4, 10}};
    BOOST_TEST(*placedPerSecond(demand, {0}, Now) == 100);
    BOOST_TEST(*placedPerSecond(demand, {2}, Now) == 40);
    BOOST_TEST(*placedPerSecond(demand, {5}, Now) == 10);
}

// Guards against rejections by a daemon that has just started and knows no rates.
BOOST_AUTO_TEST_CASE(NothingIsExpectedWithoutPlacements)
{
    FleetDemand demand;
    demand.own.placed = {{0, 100}};
    demand.own.placements = 2;
    BOOST_TEST(!expectedWait(demand, {}, 1000, Now).has_value());
}

BOOST_AUTO_TEST_CASE(WorkspacesAreRankedByUseOverTheirPart)
{
    WorkspaceUsage usage;
    recordUse(usage, WorkspaceId("large"), 600, Now);
    BOOST_TEST(overuseLevel(usage, WorkspaceId("large"), {}, Now) == 0);
    for (const char *name : {"a", "b", "c", "d", "e"})
        setReported(usage, VmId(name), {{WorkspaceId(name), 40}}, Now);
    // 300 and five times 40 a second: the fair part is 83.
    BOOST_TEST(overuseLevel(usage, WorkspaceId("large"), {}, Now) == 2);
    BOOST_TEST(overuseLevel(usage, WorkspaceId("a"), {}, Now) == 0);
    BOOST_TEST(overuseLevel(usage, WorkspaceId("absent"), {}, Now) == 0);
    const QHash<WorkspaceId, double> weights{{WorkspaceId("large"), 10}};
    BOOST_TEST(overuseLevel(usage, WorkspaceId("large"), weights, Now) == 0);
    BOOST_TEST(overuseLevel(usage, WorkspaceId("large"), {}, Now + 60s) == 0);
}

BOOST_AUTO_TEST_CASE(CallersAreKnownByWhenTheyReturn)
{
    ReturnPromises promises;
    BOOST_TEST((takePromise(promises, Fingerprint, 6000ms, Now) == ReturnKind::New));
    addPromise(promises, promiseIn(1000ms), Now);
    BOOST_TEST((takePromise(promises, Fingerprint, 5900ms, Now + 100ms) == ReturnKind::Early));
    BOOST_TEST(untilDue(promises, Fingerprint, Now + 100ms).count() == 900);
    BOOST_TEST((takePromise(promises, Fingerprint, 5000ms, Now + 960ms) == ReturnKind::AsTold));
    // It is used up.
    BOOST_TEST((takePromise(promises, Fingerprint, 5000ms, Now + 970ms) == ReturnKind::New));
    BOOST_TEST(promises.count == 0);
}

// Guards against a new request that is taken for an early retry of another with the same content.
BOOST_AUTO_TEST_CASE(ACallerWithMoreTimeIsNew)
{
    ReturnPromises promises;
    addPromise(promises, promiseIn(1000ms), Now);
    BOOST_TEST((takePromise(promises, Fingerprint, 7000ms, Now + 100ms) == ReturnKind::New));
}

BOOST_AUTO_TEST_CASE(AnEstimateGivesNoPrecedence)
{
    ReturnPromises promises;
    addPromise(promises, promiseIn(1000ms, false), Now);
    BOOST_TEST(promisedWork(promises, 9, Now, Now + 1h) == 0);
    BOOST_TEST((takePromise(promises, Fingerprint, 5000ms, Now + 500ms) == ReturnKind::Early));
    BOOST_TEST((takePromise(promises, Fingerprint, 5000ms, Now + 1100ms) == ReturnKind::New));
}

BOOST_AUTO_TEST_CASE(PromisesAreBoundedAndExpire)
{
    ReturnPromises promises;
    for (int i = 0; i < MaxReturnPromises + 100; ++i) {
        ReturnPromise promise = promiseIn(Milliseconds(i));
        promise.fingerprint = quint64(i);
        addPromise(promises, promise, Now);
    }
    BOOST_TEST(promises.count == MaxReturnPromises);
    dropExpired(promises, Now + 1h);
    BOOST_TEST(promises.count == 0);
    BOOST_TEST(promises.entries.isEmpty());
}

BOOST_AUTO_TEST_CASE(ReturnDelayFollowsTheWorkAhead)
{
    BOOST_TEST(returnDelay(300, 100, 0).count() == 3000);
    BOOST_TEST(returnDelay(300, 100, 1).count() >= 3590);
    BOOST_TEST(returnDelay(1, 1000, 0).count() == 100);
    BOOST_TEST(isKept(2000ms, 6000ms));
    BOOST_TEST(!isKept(2001ms, 6000ms));
}

BOOST_AUTO_TEST_CASE(MessagesAreReadAsTheyWereWritten)
{
    DemandMessage message;
    DemandReport report;
    report.service = ServiceId("model");
    report.demand.waiting = {{2, ReturnKind::AsTold, 3, {300, 900}, Now - 250ms, true}};
    report.demand.placed = {{2, 12.5}};
    report.demand.placements = 7;
    report.usage = {{WorkspaceId("house"), 3.5}};
    message.reports = {report};
    const std::optional<DemandMessage> read = decodeDemand(encodeDemand(message, Now), Now + 10ms);
    BOOST_REQUIRE(read.has_value());
    const DaemonDemand &demand = read->reports.first().demand;
    BOOST_TEST(demand.waiting.first().work.roomSeconds == 900);
    BOOST_TEST((demand.waiting.first().returns == ReturnKind::AsTold));
    BOOST_TEST((demand.waiting.first().oldest == Now - 240ms));
    BOOST_TEST(demand.waiting.first().isBrief);
    BOOST_TEST(read->reports.first().usage.first().workPerSecond == 4);
    const QList<DemandReport> rates = decodeRates(encodeRates(message.reports));
    BOOST_REQUIRE(rates.size() == 1);
    BOOST_TEST(rates.first().demand.placed.first().perSecond == 12.5);
    BOOST_TEST(rates.first().demand.placements == 7);
    DemandMessage promised{{}, ServiceId("model"), {promiseIn(700ms)}};
    const auto again = decodeDemand(encodeDemand(promised, Now), Now);
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST((again->service == ServiceId("model")));
    BOOST_TEST((again->promises.first().due == Now + 700ms));
    BOOST_TEST(again->promises.first().isFirm);
}

// Guards against numbers of another daemon that leave the range of levels or of doubles.
BOOST_AUTO_TEST_CASE(MessagesOutOfRangeAreRefused)
{
    const auto withWaiting = [](const QCborArray &entry) {
        return QCborArray{QCborArray{QCborArray{"model", QCborArray{entry}, QCborArray()}},
                          QCborArray(), ""};
    };
    BOOST_TEST(decodeDemand(withWaiting({2, 1, 1, 1.0, 1.0, 5}), Now).has_value());
    BOOST_TEST(!decodeDemand(withWaiting({UrgencyLevels, 1, 1, 1.0, 1.0, 5}), Now).has_value());
    BOOST_TEST(!decodeDemand(withWaiting({-1, 1, 1, 1.0, 1.0, 5}), Now).has_value());
    BOOST_TEST(!decodeDemand(withWaiting({2, 3, 1, 1.0, 1.0, 5}), Now).has_value());
    BOOST_TEST(!decodeDemand(withWaiting({2, 1, 1, -1.0, 1.0, 5}), Now).has_value());
    const double infinite = std::numeric_limits<double>::infinity();
    BOOST_TEST(!decodeDemand(withWaiting({2, 1, 1, 1.0, infinite, 5}), Now).has_value());
    BOOST_TEST(!decodeDemand(withWaiting({2, 1, 1, 1.0, 1.0, -5}), Now).has_value());
    BOOST_TEST(!decodeDemand(QCborArray(), Now).has_value());
}

// The longest datagram stays below the 1,400 bytes that every path carries.
BOOST_AUTO_TEST_CASE(MessagesFitOneDatagram)
{
    constexpr qsizetype MaxDatagram = 1400;
    constexpr qsizetype Envelope = 100;
    DemandMessage message;
    for (int service = 0; service < 2; ++service) {
        DemandReport report;
        report.service = ServiceId("service-with-a-name");
        for (int i = 0; i < 40; ++i) {
            report.demand.waiting.append(
                {i % UrgencyLevels, ReturnKind::New, 50, {123456.5, 654321.5}, Now - 900ms});
            report.usage.append({WorkspaceId("workspace-name"), 12345.5});
        }
        for (int level = 0; level < 40; ++level)
            report.demand.placed.append({level, 1234.5});
        message.reports.append(report);
    }
    BOOST_TEST(QCborValue(encodeDemand(message, Now)).toCbor().size() < MaxDatagram - Envelope);
    BOOST_TEST(QCborValue(encodeRates(message.reports)).toCbor().size() < MaxDatagram - Envelope);
    DemandMessage promised;
    promised.service = ServiceId("service-with-a-name");
    for (int i = 0; i < 100; ++i)
        promised.promises.append(promiseIn(5000ms));
    BOOST_TEST(QCborValue(encodeDemand(promised, Now)).toCbor().size() < MaxDatagram - Envelope);
}

BOOST_AUTO_TEST_CASE(SpeedIsTheTimeWithoutTheQueue)
{
    BOOST_TEST(serviceTime(100, 3, 4) == 100);
    BOOST_TEST(serviceTime(300, 12, 4) == 100);
    BOOST_TEST(expectedTime(100, 3, 4) == 100);
    BOOST_TEST(expectedTime(100, 7, 4) == 200);
    ObservedMean mean;
    for (int i = 0; i < 100; ++i)
        observe(mean, 10);
    for (int i = 0; i < 32; ++i)
        observe(mean, 20);
    BOOST_TEST(mean.value > 18);
    BOOST_TEST(merged(ObservedMean{10, 4}, ObservedMean{20, 12}).value == 17.5);
    BOOST_TEST(merged(ObservedMean{}, ObservedMean{}).samples == 0);
}

BOOST_AUTO_TEST_CASE(LateAnswersHaveTheFirstCauseThatApplies)
{
    RelayRoute route;
    route.objective = 1500ms;
    BOOST_TEST((lateCause(route, 1500ms, 900ms, 900ms) == LateCause::OnTime));
    route.maxPause = 180ms;
    BOOST_TEST((lateCause(route, 1501ms, 900ms, 900ms) == LateCause::Answer));
    BOOST_TEST((lateCause(route, 1500ms, 200ms, 900ms) == LateCause::MovePause));
    BOOST_TEST((lateCause(route, 1500ms, 100ms, 181ms) == LateCause::Pause));
    BOOST_TEST((lateCause(route, 1500ms, 100ms, 180ms) == LateCause::OnTime));
}
