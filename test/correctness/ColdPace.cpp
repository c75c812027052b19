// What cold targets are sent by all daemons together.
#define BOOST_TEST_MODULE ColdPace
#include <boost/test/unit_test.hpp>

#include "relay/ColdPace.h"
#include "relay/TargetChoice.h"
#include "relay/TargetDirectory.h"
#include "support/ManualTimers.h"

#include <QRandomGenerator>

#include <algorithm>
#include <deque>

using namespace cranberry;
using namespace std::chrono_literals;

namespace {

/// What a cold target bears in a second, and how much more does not crash it yet.
constexpr double PerSecond = 36;
constexpr double MostInASecond = PerSecond * 1.5 + 5;
const ServiceId Service(QStringLiteral("s"));
const TargetId Target(QStringLiteral("t"));

/// The most arrivals in any second.
int mostInASecond(QList<int> arrivals)
{
    std::sort(arrivals.begin(), arrivals.end());
    std::deque<int> window;
    int most = 0;
    for (const int at : std::as_const(arrivals)) {
        window.push_back(at);
        while (window.front() <= at - 1000)
            window.pop_front();
        most = std::max(most, int(window.size()));
    }
    return most;
}

/// Arrivals in the first seconds at a target that all want to use all the time. The daemons hear
/// up to 300 ms apart that it is cold.
QList<int> arrivalsAt(int daemons, QRandomGenerator &random, bool hasOwnMoments)
{
    constexpr int Length = 4000;
    const Milliseconds pace = coldPace(PerSecond, daemons);
    QList<int> arrivals;
    for (int daemon = 0; daemon < daemons; ++daemon) {
        int at = hasOwnMoments
            ? random.bounded(300) + int(firstColdDelay(pace, random.generateDouble()).count())
            : random.bounded(300);
        for (; at < Length; at += int(pace.count()))
            arrivals.append(at);
    }
    return arrivals;
}

RelayTarget entryOf(Milliseconds coldLeft)
{
    RelayTarget target;
    target.id = Target;
    target.service = Service;
    target.dataCentre = DataCentreId(QStringLiteral("hall"));
    target.coldLeft = coldLeft;
    return target;
}

bool isChosen(const TargetDirectory &targets, MonotonicTime now)
{
    TargetNeed need;
    return chooseTarget(targets.takingWork(Service), need, now).target != nullptr;
}

} // namespace

// A data centre came back with all its engines cold. Each of 60 daemons found them empty and sent
// what it had; engines crashed under it. Together they stay under what a cold engine bears, by
// many seeds and in fleets of any size, and still use most of it.
BOOST_AUTO_TEST_CASE(SumOfAllDaemonsHolds)
{
    for (const int daemons : {1, 6, 60, 195, 770}) {
        for (quint32 seed = 1; seed <= 200; ++seed) {
            QRandomGenerator random(seed);
            const QList<int> arrivals = arrivalsAt(daemons, random, true);
            BOOST_TEST_INFO("daemons " << daemons << ", seed " << seed);
            BOOST_REQUIRE(mostInASecond(arrivals) <= MostInASecond);
            BOOST_REQUIRE(double(arrivals.size()) > 4 * PerSecond / 2);
        }
    }
}

// The same share without a moment of its own for each daemon: 195 daemons may send one request
// each 5.4 s, and all send it in the first 300 ms.
BOOST_AUTO_TEST_CASE(EqualMomentsBreakIt)
{
    QRandomGenerator random(1);
    BOOST_TEST(mostInASecond(arrivalsAt(195, random, false)) > MostInASecond);
}

BOOST_AUTO_TEST_CASE(NoLimitWhereTheOperatorSetsNone)
{
    BOOST_TEST(coldPace(0, 60).count() == 0);
}

// An engine that had served for long said that it is cold again. What it said when it joined was
// taken for all time, so that it got as many requests as any other.
BOOST_AUTO_TEST_CASE(TargetTurnsColdAgain)
{
    test::ManualTimers timers;
    TargetDirectory targets(timers);
    targets.setColdPace([](const ServiceId &) { return Milliseconds(400); });
    targets.put(entryOf(0ms));
    timers.advance(10s);
    BOOST_TEST(isChosen(targets, timers.now()));
    targets.put(entryOf(1000ms));
    timers.advance(400ms);
    BOOST_TEST(isChosen(targets, timers.now()));
    targets.requestPlaced(Target, Tokens(10));
    BOOST_TEST(!isChosen(targets, timers.now()));
    timers.advance(400ms);
    BOOST_TEST(isChosen(targets, timers.now()));
    targets.requestPlaced(Target, Tokens(10));
    timers.advance(201ms);
    // Warm by now.
    BOOST_TEST(isChosen(targets, timers.now()));
}

// An evacuation was taken back, and the engines there had started again just before without
// having said so yet.
BOOST_AUTO_TEST_CASE(EvacuatedTargetsReturnAtAPace)
{
    test::ManualTimers timers;
    TargetDirectory targets(timers);
    targets.setColdPace([](const ServiceId &) { return Milliseconds(400); });
    targets.put(entryOf(0ms));
    const DataCentreId hall(QStringLiteral("hall"));
    targets.setEvacuated(hall, true);
    BOOST_TEST(!isChosen(targets, timers.now()));
    BOOST_TEST(targets.isEvacuated(Service));
    targets.setEvacuated(hall, false);
    timers.advance(400ms);
    BOOST_TEST(isChosen(targets, timers.now()));
    targets.requestPlaced(Target, Tokens(10));
    BOOST_TEST(!isChosen(targets, timers.now()));
    timers.advance(3s);
    targets.requestPlaced(Target, Tokens(10));
    BOOST_TEST(isChosen(targets, timers.now()));
}
