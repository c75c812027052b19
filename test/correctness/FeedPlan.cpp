// Which daemons watch the store for the others, without a network.
#define BOOST_TEST_MODULE FeedPlan
#include <boost/test/unit_test.hpp>

#include "relay/FeedPlan.h"

#include <QList>
#include <QRandomGenerator>

using namespace cranberry;

namespace {

/// A daemon of a fleet in which each hears all heads; its index is its place in the order.
struct Daemon {
    int dataCentre = 0;
    bool lives = true;
    bool isServed = true;
    bool watches = false;
    /// Rounds for which it still counts as turned away.
    int turnedAway = 0;
};

constexpr int RoundsTurnedAway = 13;

FeedView viewOf(const QList<Daemon> &fleet, int self)
{
    FeedView view;
    view.hasGroup = true;
    view.isRejectedByStore = fleet[self].turnedAway > 0;
    for (int other = 0; other < fleet.size(); ++other) {
        if (other == self || !fleet[other].lives)
            continue;
        const bool isBefore = other < self;
        if (isBefore && fleet[other].dataCentre == fleet[self].dataCentre)
            ++view.rankInGroup;
        if (fleet[other].watches) {
            ++view.watchers;
            view.watchersBefore += isBefore ? 1 : 0;
        }
    }
    return view;
}

/// One heartbeat: each daemon decides by what it heard in the last one.
void playRound(QList<Daemon> &fleet)
{
    const QList<Daemon> heard = fleet;
    for (int i = 0; i < fleet.size(); ++i) {
        Daemon &daemon = fleet[i];
        daemon.turnedAway = std::max(0, daemon.turnedAway - 1);
        const bool wants = daemon.lives && watchesStore(viewOf(heard, i));
        daemon.watches = wants && daemon.isServed;
        if (wants && !daemon.isServed)
            daemon.turnedAway = RoundsTurnedAway;
    }
}

int watchers(const QList<Daemon> &fleet)
{
    return int(std::count_if(fleet.cbegin(), fleet.cend(),
                             [](const Daemon &daemon) { return daemon.watches; }));
}

QList<Daemon> fleetOf(int dataCentres, int each)
{
    QList<Daemon> fleet(dataCentres * each);
    for (int i = 0; i < fleet.size(); ++i)
        fleet[i].dataCentre = i % dataCentres;
    return fleet;
}

} // namespace

BOOST_AUTO_TEST_CASE(ADaemonWithoutAGroupWatches)
{
    BOOST_TEST(watchesStore({}));
    BOOST_TEST(!isGroupHead({}));
}

BOOST_AUTO_TEST_CASE(OnlyHeadsWatchAndOnlyTheFirstTwo)
{
    FeedView view;
    view.hasGroup = true;
    view.rankInGroup = 2;
    BOOST_TEST(!watchesStore(view));
    view.rankInGroup = 1;
    view.watchersBefore = 1;
    view.watchers = 4;
    BOOST_TEST(watchesStore(view));
    view.watchersBefore = 2;
    BOOST_TEST(!watchesStore(view));
}

// A head that the store turned away kept asking it while another one was served: it is fed
// instead. With nobody else watching it goes on asking.
BOOST_AUTO_TEST_CASE(OneThatIsTurnedAwayFollowsOthers)
{
    FeedView view;
    view.hasGroup = true;
    view.isRejectedByStore = true;
    BOOST_TEST(watchesStore(view));
    view.watchers = 1;
    BOOST_TEST(!watchesStore(view));
}

// 195 daemons in five data centres made 4,226 priced store calls on an emulated calm day, as each
// watched the configuration and ten the targets; 990 with two watchers. Two watch at any size.
BOOST_AUTO_TEST_CASE(TwoDaemonsWatchForAFleetOfAnySize)
{
    for (const int each : {6, 39, 128}) {
        QList<Daemon> fleet = fleetOf(5, each);
        for (int round = 0; round < 3; ++round)
            playRound(fleet);
        BOOST_TEST(watchers(fleet) == 2);
    }
}

// The store turned away the two watchers alone. They lived and said so, the seven others waited two
// to six seconds for them, and a key that was taken away was taken for good all that time. With a
// heartbeat of 0.3 s and a question to a peer each 0.5 s two seconds are kept.
BOOST_AUTO_TEST_CASE(HeadsThatAreTurnedAwayDoNotHoldOthersUp)
{
    constexpr Milliseconds Bound{2000};
    constexpr Milliseconds Heartbeat{300};
    constexpr Milliseconds Question{500};
    BOOST_TEST((probeDelay(false, 1.0) + Heartbeat + 2 * Question < Bound));
    BOOST_TEST(probeDelay(false, 0.0).count() == 0);
    // A daemon that was refused too learns from peers, and its own calls are few.
    BOOST_TEST((probeDelay(true, 0.0) >= Milliseconds(2000)));
    BOOST_TEST((probeDelay(true, 1.0) <= Milliseconds(6000)));
}

// Watchers die and the store turns daemons away, in any order: while a head that is served lives,
// somebody watches again within two heartbeats, and no more than the heads ever do.
BOOST_AUTO_TEST_CASE(SomebodyTakesOverWithinTwoHeartbeats)
{
    constexpr int DataCentres = 5;
    for (quint32 seed = 1; seed <= 200; ++seed) {
        QRandomGenerator random(seed);
        QList<Daemon> fleet = fleetOf(DataCentres, 8);
        for (int change = 0; change < 30; ++change) {
            Daemon &daemon = fleet[random.bounded(int(fleet.size()))];
            if (random.bounded(2) == 0)
                daemon.lives = !daemon.lives;
            else
                daemon.isServed = !daemon.isServed;
            playRound(fleet);
            playRound(fleet);
            bool isHeadServed = false;
            for (int i = 0; i < fleet.size(); ++i)
                isHeadServed |= fleet[i].lives && fleet[i].isServed && fleet[i].turnedAway == 0
                    && isGroupHead(viewOf(fleet, i));
            BOOST_TEST((watchers(fleet) > 0 || !isHeadServed));
            BOOST_TEST(watchers(fleet) <= 2 * DataCentres);
        }
    }
}
