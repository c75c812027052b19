// How daemons keep their copies of what the operator wrote fresh, without a network.
#define BOOST_TEST_MODULE StalenessPlan
#include <boost/test/unit_test.hpp>

#include "relay/StalenessPlan.h"

#include <QList>
#include <QRandomGenerator>

#include <algorithm>
#include <functional>

using namespace cranberry;

namespace {

constexpr Milliseconds Bound{2000};
constexpr Milliseconds Step{10};
/// Another peer is asked after that time; a call that is answered.
constexpr Milliseconds NextQuestion{100};
constexpr Milliseconds Call{20};
/// A daemon whose call the store refused does not try again before.
constexpr Milliseconds TurnedAway{4000};
constexpr Milliseconds Heartbeat{300};
/// Of a copy whose watch has just been cut: its wait, its slack and a pace.
constexpr Milliseconds AgeOfWatch{920};

using Plan = std::function<StalenessStep(const StalenessView &)>;

/// A daemon that two others feed; its knowledge is a moment of the store's history.
struct Daemon {
    Milliseconds freshAsOf{0};
    Milliseconds busyUntil{0};
    Milliseconds turnedAwayUntil{0};
    Milliseconds refusedAt{0};
    bool isServed = true;
    double draw = 0.5;
    /// It takes the heartbeats of the two for its source.
    bool isFed = true;
};

struct Fleet {
    Fleet(quint32 seed, Plan chosen)
        : random(seed)
        , plan(std::move(chosen))
        , daemons(12)
    {
    }

    /// A third is turned away; the feed fails in one of several ways, anew each second.
    void breakSomething()
    {
        for (Daemon &daemon : daemons) {
            daemon.isServed = random.bounded(3) > 0;
            daemon.isFed = random.bounded(2) > 0;
        }
        // Somebody is served, or nobody can be fresh.
        daemons[random.bounded(int(daemons.size()))].isServed = true;
        isFeederDeaf = random.bounded(2) > 0;
    }

    void beat()
    {
        if (!isFeederDeaf)
            fedAt = now;
        for (Daemon &daemon : daemons) {
            if (daemon.isFed)
                daemon.freshAsOf = std::max(daemon.freshAsOf, fedAt);
        }
    }

    void act(Daemon &daemon)
    {
        if (daemon.busyUntil > now)
            return;
        const StalenessView view{
            now - daemon.freshAsOf, Bound, daemon.turnedAwayUntil > now, daemon.draw, false,
            now - daemon.refusedAt};
        switch (plan(view)) {
        case StalenessStep::Wait:
            return;
        case StalenessStep::ReadStore:
            readStore(daemon);
            return;
        case StalenessStep::AskPeer:
            askPeer(daemon);
            return;
        }
    }

    void readStore(Daemon &daemon)
    {
        daemon.busyUntil = now + Call;
        daemon.draw = random.generateDouble();
        if (daemon.isServed)
            daemon.freshAsOf = now;
        else
            refuse(daemon);
    }

    void refuse(Daemon &daemon) const
    {
        daemon.refusedAt = now;
        daemon.turnedAwayUntil = now + TurnedAway;
    }

    void askPeer(Daemon &daemon)
    {
        const Daemon &peer = daemons[random.bounded(int(daemons.size()))];
        const bool isLost = random.bounded(8) == 0;
        daemon.busyUntil = now + (isLost ? NextQuestion : Call);
        if (!isLost)
            daemon.freshAsOf = std::max(daemon.freshAsOf, peer.freshAsOf);
    }

    Milliseconds oldest() const
    {
        Milliseconds oldest = now;
        for (const Daemon &daemon : daemons)
            oldest = std::min(oldest, daemon.freshAsOf);
        return now - oldest;
    }

    /// The greatest age of any daemon's knowledge in a minute.
    Milliseconds play()
    {
        Milliseconds worst{0};
        for (now = Step; now < std::chrono::minutes(1); now += Step) {
            if (now.count() % 1000 == 0)
                breakSomething();
            if (now.count() % Heartbeat.count() == 0)
                beat();
            for (Daemon &daemon : daemons)
                act(daemon);
            worst = std::max(worst, oldest());
        }
        return worst;
    }

    /// The greatest age after all watches were cut in one moment. The store serves all from then
    /// on, and nobody feeds the others.
    Milliseconds cutAllWatches()
    {
        now = std::chrono::seconds(10);
        for (Daemon &daemon : daemons) {
            daemon.freshAsOf = now - AgeOfWatch;
            daemon.draw = random.generateDouble();
            refuse(daemon);
        }
        Milliseconds worst{0};
        const Milliseconds end = now + TurnedAway;
        for (; now < end; now += Step) {
            for (Daemon &daemon : daemons)
                act(daemon);
            worst = std::max(worst, oldest());
        }
        return worst;
    }

    QRandomGenerator random;
    Plan plan;
    QList<Daemon> daemons;
    Milliseconds now{0};
    Milliseconds fedAt{0};
    bool isFeederDeaf = false;
};

/// Days on which some daemon's knowledge became older than the bound.
int brokenDays(const Plan &plan)
{
    int broken = 0;
    for (quint32 seed = 1; seed <= 100; ++seed)
        broken += Fleet(seed, plan).play() > Bound ? 1 : 0;
    return broken;
}

StalenessView viewOf(qint64 age, bool isRejectedByStore = false)
{
    return {Milliseconds(age), Bound, isRejectedByStore, 1, false};
}

} // namespace

// A key that was taken away went on working for five seconds at one daemon. Those that watch for
// it were deaf, or a link to them dropped one way, or they were turned away by the store, while
// their heartbeats made it believe that it was fed. Whatever fails, nobody's knowledge is older
// than the bound as long as the store serves anybody.
BOOST_AUTO_TEST_CASE(WhateverFailsTheBoundHolds)
{
    BOOST_TEST(brokenDays(stalenessStep) == 0);
}

// The store dropped its history and cut all watches at once. Each daemon took itself for turned
// away and read nothing for four seconds, though the store served everybody.
BOOST_AUTO_TEST_CASE(WatchesThatAreCutTogetherLeaveCopiesWithinTheBound)
{
    for (quint32 seed = 1; seed <= 100; ++seed)
        BOOST_TEST((Fleet(seed, stalenessStep).cutAllWatches() <= Bound));
}

// The same days break plans that lack a part.
BOOST_AUTO_TEST_CASE(PlansThatLackAPartFail)
{
    const Plan trustsTheFeed = [](const StalenessView &) { return StalenessStep::Wait; };
    const Plan asksNobody = [](const StalenessView &view) {
        const StalenessStep step = stalenessStep(view);
        return step == StalenessStep::AskPeer ? StalenessStep::Wait : step;
    };
    const Plan neverReads = [](const StalenessView &view) {
        const StalenessStep step = stalenessStep(view);
        return step == StalenessStep::ReadStore ? StalenessStep::AskPeer : step;
    };
    const Plan asksTooLate = [](const StalenessView &view) {
        return view.age < Bound ? StalenessStep::Wait : stalenessStep(view);
    };
    BOOST_TEST(brokenDays(trustsTheFeed) > 0);
    BOOST_TEST(brokenDays(asksNobody) > 0);
    BOOST_TEST(brokenDays(neverReads) > 0);
    BOOST_TEST(brokenDays(asksTooLate) > 0);
}

BOOST_AUTO_TEST_CASE(OwnWatchNeedsNobody)
{
    StalenessView view = viewOf(1700);
    view.hasOwnWatch = true;
    BOOST_TEST((stalenessStep(view) == StalenessStep::Wait));
}

BOOST_AUTO_TEST_CASE(PeersGoBeforeTheStore)
{
    BOOST_TEST((stalenessStep(viewOf(800)) == StalenessStep::Wait));
    BOOST_TEST((stalenessStep(viewOf(1000)) == StalenessStep::AskPeer));
    BOOST_TEST((stalenessStep(viewOf(1700)) == StalenessStep::ReadStore));
    BOOST_TEST((stalenessStep(viewOf(1700, true)) == StalenessStep::AskPeer));
}

// A daemon that had never read anything must not tell a caller that its key does not exist.
BOOST_AUTO_TEST_CASE(UnknownAgeIsNotFresh)
{
    StalenessView view;
    view.bound = Bound;
    BOOST_TEST(!isWithinBound(view));
    BOOST_TEST(isWithinBound(viewOf(1700)));
    BOOST_TEST(!isWithinBound(viewOf(1900)));
}
