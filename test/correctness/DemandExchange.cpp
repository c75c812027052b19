// Tests how daemons tell each other what waits, their rates and their promises to callers, over
// datagrams on 127.0.0.1.
#define BOOST_TEST_MODULE DemandExchange
#include <boost/test/unit_test.hpp>

#include "base/QtTimerService.h"
#include "base/TimerSubscription.h"
#include "relay/DemandMessage.h"
#include "support/EventLoop.h"
#include "support/LoadFleet.h"
#include "support/ManualTimers.h"

#include <QCborArray>

using namespace cranberry;
using namespace std::chrono_literals;

namespace {

const ServiceId Engines(QStringLiteral("engine"));
const ServiceId Unknown(QStringLiteral("unknown"));
constexpr int Daemons = 4;
constexpr quint64 Fingerprint = 77;
constexpr Work OneRequest{100, 5};

Urgency leastUrgent(MonotonicTime now)
{
    return {OverdueLevel, ReturnKind::Early, now};
}

void setWaiting(test::LoadDaemon &daemon, int count)
{
    const MonotonicTime now = QtTimerService().now();
    daemon.waiting.clear();
    for (int i = 0; i < count; ++i)
        daemon.waiting.append({Engines, {4, ReturnKind::New, now}, OneRequest});
    daemon.admission.waitingChanged(Engines);
}

double roomAheadAt(const test::LoadDaemon &daemon)
{
    return daemon.admission.workAhead(Engines, leastUrgent(QtTimerService().now())).room;
}

/// Whether @p condition holds for all daemons of @p fleet except the first.
template <typename Condition>
bool holdsAtOthers(test::LoadFleet &fleet, Condition condition)
{
    for (int i = 1; i < Daemons; ++i) {
        if (!condition(fleet.daemon(0, i)))
            return false;
    }
    return true;
}

void pass(Milliseconds time)
{
    bool isOver = false;
    QtTimerService timers;
    const auto timer = timers.after(time, [&] { isOver = true; });
    BOOST_REQUIRE(test::waitFor([&] { return isOver; }));
}

qint64 sentBy(const test::LoadDaemon &daemon)
{
    return daemon.admission.exchangeCounters().sent;
}

ReturnPromise promiseIn(Milliseconds delay)
{
    ReturnPromise promise;
    promise.fingerprint = Fingerprint;
    promise.due = QtTimerService().now() + delay;
    promise.callerTime = 6000ms;
    promise.isFirm = true;
    return promise;
}

Peer stranger()
{
    Peer peer;
    peer.vm = VmId(QStringLiteral("stranger"));
    peer.dataCentre = DataCentreId(QStringLiteral("hall0"));
    return peer;
}

} // namespace

// Guards against reports that do not arrive, do not follow changes or outlive what they report.
BOOST_AUTO_TEST_CASE(WhatWaitsAtOneDaemonIsKnownAtTheOthers)
{
    test::LoadFleet fleet(1, Daemons);
    test::LoadDaemon &loaded = fleet.daemon(0, 0);
    const auto isAhead = [&](double room) {
        return test::waitFor([&] {
            return holdsAtOthers(fleet, [&](const auto &daemon) {
                return roomAheadAt(daemon) == room
                    && daemon.admission.isBusy(Engines) == (room > 0);
            });
        });
    };
    setWaiting(loaded, 3);
    BOOST_TEST(isAhead(300));
    setWaiting(loaded, 1);
    BOOST_TEST(isAhead(100));
    // Longer than a report is used: it is repeated.
    pass(DemandTimeout + 300ms);
    BOOST_TEST(isAhead(100));
    BOOST_TEST(roomAheadAt(loaded) == 0);
    setWaiting(loaded, 0);
    const auto received = [&](const auto &daemon) {
        return daemon.admission.exchangeCounters().received;
    };
    const qint64 before = received(fleet.daemon(0, 1));
    BOOST_TEST(isAhead(0));
    BOOST_TEST(received(fleet.daemon(0, 1)) > before);
}

// Guards against messages that go on after the overload.
BOOST_AUTO_TEST_CASE(NothingIsSentWhileNothingWaits)
{
    test::LoadFleet fleet(1, Daemons);
    test::LoadDaemon &daemon = fleet.daemon(0, 0);
    daemon.admission.recordArrival(Engines, Fingerprint, 6000ms);
    daemon.admission.recordPlaced(Engines, {4}, OneRequest);
    daemon.admission.waitingChanged(Engines);
    pass(700ms);
    BOOST_TEST(sentBy(daemon) == 0);
    setWaiting(daemon, 1);
    BOOST_TEST(test::waitFor([&] { return roomAheadAt(fleet.daemon(0, 1)) == 100; }));
    setWaiting(daemon, 0);
    BOOST_TEST(test::waitFor([&] { return roomAheadAt(fleet.daemon(0, 1)) == 0; }));
    pass(700ms);
    const qint64 sent = sentBy(daemon);
    pass(700ms);
    BOOST_TEST(sentBy(daemon) == sent);
    BOOST_TEST(holdsAtOthers(fleet, [](const auto &other) { return sentBy(other) == 0; }));
}

// Guards against room that is kept for the requests of a daemon that has ended.
BOOST_AUTO_TEST_CASE(ADaemonThatStopsIsIgnored)
{
    test::LoadFleet fleet(1, Daemons);
    setWaiting(fleet.daemon(0, 0), 3);
    BOOST_REQUIRE(test::waitFor([&] {
        return holdsAtOthers(fleet, [](const auto &daemon) { return roomAheadAt(daemon) == 300; });
    }));
    fleet.kill(0, 0);
    BOOST_TEST(test::waitFor([&] {
        return holdsAtOthers(fleet, [](const auto &daemon) {
            return roomAheadAt(daemon) == 0 && !daemon.admission.isBusy(Engines);
        });
    }));
}

// Guards against a caller that returns to another daemon before that daemon knows of the promise.
BOOST_AUTO_TEST_CASE(PromisesAreSentBeforeTheRejectionIsAnswered)
{
    test::LoadFleet fleet(1, Daemons);
    test::LoadDaemon &rejecting = fleet.daemon(0, 0);
    const Milliseconds delay =
        rejecting.admission.reject(Engines, 4, OneRequest, Fingerprint, 6000ms, 6000ms, {});
    BOOST_TEST(sentBy(rejecting) == Daemons - 1);
    BOOST_TEST(test::waitFor([&] {
        return holdsAtOthers(fleet, [&](const auto &daemon) {
            const Milliseconds due = daemon.admission.untilDue(Engines, Fingerprint);
            return due > 0ms && due <= delay;
        });
    }));
    FleetAdmission &other = fleet.daemon(0, 1).admission;
    BOOST_TEST((other.recordArrival(Engines, Fingerprint, 6000ms) == ReturnKind::Early));
}

// Guards against estimates that know only the rate of their own daemon.
BOOST_AUTO_TEST_CASE(RatesTravelWithTheRepeatedLoads)
{
    test::LoadFleet fleet(1, Daemons);
    test::LoadDaemon &placing = fleet.daemon(0, 0);
    setWaiting(placing, 1);
    BOOST_TEST(test::waitFor([&] {
        placing.admission.recordPlaced(Engines, {4}, OneRequest);
        return holdsAtOthers(fleet, [](const auto &daemon) {
            const AdmissionEstimate estimate = daemon.admission.estimate(
                Engines, {4, ReturnKind::New, QtTimerService().now()}, {}, OneRequest, 1000ms);
            return estimate.heard == 1 && estimate.placedPerSecond && *estimate.placedPerSecond > 0;
        });
    }));
}

// Guards against state without a bound: the names in datagrams are chosen by their senders.
BOOST_AUTO_TEST_CASE(ServicesThatAreNotConfiguredLeaveNoState)
{
    test::LoadFleet fleet(1, 1);
    test::LoadDaemon &daemon = fleet.daemon(0, 0);
    const MonotonicTime now = QtTimerService().now();
    DemandReport report;
    report.service = Unknown;
    report.demand.waiting = {{4, ReturnKind::New, 1, OneRequest, now}};
    report.demand.placements = 5;
    int reported = 0;
    daemon.admission.onDemand([&](const ServiceId &) { ++reported; });
    daemon.datagrams.deliver(stranger(), DatagramKind::Demand,
                             encodeDemand({{report}, {}, {}}, now));
    daemon.datagrams.deliver(stranger(), DatagramKind::Demand,
                             encodeDemand({{}, Unknown, {promiseIn(1000ms)}}, now));
    daemon.datagrams.deliver(stranger(), DatagramKind::Load,
                             QCborArray{QCborArray(), QCborArray(), encodeRates({report})});
    BOOST_TEST(reported == 0);
    BOOST_TEST(daemon.admission.figures().isEmpty());
}

namespace {

/// Admission control without a network, with a clock that the test advances.
struct Alone {
    Alone()
    {
        admission.setWaiting([this] { return waiting; });
    }

    /// Places ten requests a second for five seconds while one waits at this daemon.
    void placeWhileOneWaits()
    {
        waiting = {{Engines, {4, ReturnKind::New, timers.now()}, OneRequest}};
        admission.waitingChanged(Engines);
        placeForFiveSeconds([] {});
    }

    template <typename Function>
    void placeForFiveSeconds(Function beforeEach)
    {
        for (int i = 0; i < 50; ++i) {
            timers.advance(100ms);
            beforeEach();
            admission.recordPlaced(Engines, {4}, OneRequest);
        }
    }

    double rate() const
    {
        return admission
            .estimate(Engines, {4, ReturnKind::New, timers.now()}, {}, OneRequest, 1000ms)
            .placedPerSecond.value_or(0);
    }

    void deliver(const QList<DemandReport> &reports)
    {
        datagrams.deliver(stranger(), DatagramKind::Demand,
                          encodeDemand({reports, {}, {}}, timers.now()));
    }

    struct Application {
        Application() { test::ensureApplication(); }
    } application;
    test::ManualTimers timers;
    HttpClient client{timers};
    StoreProtocol protocol;
    RelayCounters counters;
    PeerDirectory peers{timers, client, {}, protocol, counters, Peer()};
    PeerDatagrams datagrams{peers};
    FleetAdmission admission{timers, peers, datagrams, {}};
    QList<FleetAdmission::Waiting> waiting;
};

} // namespace

// Guards against a rate that falls once nothing waits: a request that had waited until its limit
// left the queue without a notice, and the time after that counted as busy until the next message.
BOOST_FIXTURE_TEST_CASE(TheRateIsKeptWhenNothingWaitsAtThisDaemon, Alone)
{
    placeWhileOneWaits();
    const double before = rate();
    BOOST_TEST(before > 0);
    waiting.clear();
    timers.advance(10s);
    admission.recordPlaced(Engines, {4}, OneRequest);
    BOOST_TEST(rate() > 0.85 * before);
}

// Guards against the same after the empty report of another daemon.
BOOST_FIXTURE_TEST_CASE(TheRateIsKeptWhenNothingWaitsAtOthers, Alone)
{
    DemandReport report;
    report.service = Engines;
    report.demand.waiting = {{4, ReturnKind::New, 1, OneRequest, timers.now()}};
    placeForFiveSeconds([&] { deliver({report}); });
    const double before = rate();
    BOOST_TEST(before > 0);
    deliver({});
    timers.advance(10s);
    admission.recordPlaced(Engines, {4}, OneRequest);
    BOOST_TEST(rate() > 0.85 * before);
}

// Guards against the same after the reports of a daemon that has ended.
BOOST_FIXTURE_TEST_CASE(TheRateIsKeptWhenReportsExpire, Alone)
{
    DemandReport report;
    report.service = Engines;
    report.demand.waiting = {{4, ReturnKind::New, 1, OneRequest, timers.now()}};
    placeForFiveSeconds([&] { deliver({report}); });
    const double before = rate();
    timers.advance(10s);
    admission.recordPlaced(Engines, {4}, OneRequest);
    // The time until the reports expire counts as busy.
    BOOST_TEST(rate() > 0.5 * before);
}

// Guards against a request that waits for as long as others wait, although a target can take it:
// the room of targets in other data centres, for example, is not counted.
BOOST_FIXTURE_TEST_CASE(RoomThatIsNotCountedIsTakenOutOfTurn, Alone)
{
    const auto noRoom = [] { return 0.0; };
    std::optional<MonotonicTime> leftSince;
    BOOST_TEST(!admission.mayPlace({300, 5}, OneRequest, noRoom, leftSince));
    timers.advance(MaxIdleRoom);
    BOOST_TEST(admission.mayPlace({300, 5}, OneRequest, noRoom, leftSince));
    BOOST_TEST(!leftSince);
}
