// When callers that found engines full are told to come back.
#define BOOST_TEST_MODULE RoomForecast
#include <boost/test/unit_test.hpp>

#include "relay/RoomForecast.h"

#include <QList>
#include <QRandomGenerator>

#include <algorithm>

using namespace cranberry;
using namespace std::chrono_literals;

namespace {

/// Engines with places for generations of eight seconds; more come than can be served for a
/// while, and at the end of that all daemons are killed.
struct Overload {
    static constexpr int Places = 40;
    static constexpr int Generation = 8000;
    static constexpr int Objective = 1500;
    static constexpr int Busy = 24000;
    static constexpr int Length = 48000;
    /// Between two arrivals; served would be one each 200 ms.
    static constexpr int BusyInterval = 100;
    static constexpr int CalmInterval = 400;

    struct Caller {
        int first = 0;
        int asked = 0;
        bool cameBack = false;
    };

    /// Callers whose generation ended whole. They wait for @p patience and, refused, come back
    /// once after @p comeBack; none if callers are not refused.
    int served(int patience, int comeBack)
    {
        int whole = 0;
        QList<int> running;
        QList<Caller> waiting;
        QList<Caller> away;
        int nextArrival = 0;
        for (int now = 0; now < Length; now += 10) {
            whole += int(running.removeIf([&](int end) { return end <= now; }));
            if (now >= nextArrival) {
                waiting.append({now, now, false});
                nextArrival = now + (now < Busy ? BusyInterval : CalmInterval);
            }
            for (const Caller &caller : std::as_const(away)) {
                if (caller.asked <= now)
                    waiting.append(caller);
            }
            away.removeIf([&](const Caller &caller) { return caller.asked <= now; });
            // Those that can still begin on time go first.
            std::stable_sort(waiting.begin(), waiting.end(), [&](const auto &a, const auto &b) {
                return (now - a.asked <= Objective) > (now - b.asked <= Objective);
            });
            while (!waiting.isEmpty() && running.size() < Places) {
                waiting.removeFirst();
                running.append(now + Generation);
            }
            for (const Caller &caller : std::as_const(waiting)) {
                if (now - caller.asked >= patience && !caller.cameBack)
                    away.append({caller.first, now + comeBack, true});
            }
            waiting.removeIf([&](const Caller &c) { return now - c.asked >= patience; });
            if (now == Busy) {
                running.clear();
                waiting.clear();
            }
        }
        return whole;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(LongOnesHoldMostOfTheMemory)
{
    RoomForecast forecast;
    for (int i = 0; i < 1000; ++i)
        recordHolding(forecast, Tokens(3000), i % 2 == 0 ? 1000ms : 15000ms);
    // Half of all end after 1 s, but of the memory 15 parts of 16 are held for 15 s.
    BOOST_TEST(expectedRoomDelay(forecast).count() > 11500);
}

BOOST_AUTO_TEST_CASE(ItFollowsWhatIsObserved)
{
    RoomForecast forecast;
    const Milliseconds guess = expectedRoomDelay(forecast);
    for (int i = 0; i < 200; ++i)
        recordHolding(forecast, Tokens(3000), 2000ms);
    BOOST_TEST((expectedRoomDelay(forecast) < guess));
    BOOST_TEST(expectedRoomDelay(forecast).count() >= 1950);
    BOOST_TEST(expectedRoomDelay(forecast).count() <= 2050);
    for (int i = 0; i < 200; ++i)
        recordHolding(forecast, Tokens(3000), 10000ms);
    BOOST_TEST(expectedRoomDelay(forecast).count() > 9000);
}

// Engines were full for half a minute and callers waited six seconds for room. Most of them were
// refused all the same, and those that waited when the daemons were killed had no answer at all.
// Refused once they can't begin on time, and told to come back when what runs has ended, more of
// them get their whole answer than with the long wait, and than with an early return.
BOOST_AUTO_TEST_CASE(ComingBackServesMoreThanWaiting)
{
    RoomForecast forecast;
    for (int i = 0; i < 100; ++i)
        recordHolding(forecast, Tokens(3000), Milliseconds(Overload::Generation));
    const int comeBack = int(expectedRoomDelay(forecast).count());
    Overload overload;
    const int returning = overload.served(Overload::Objective, comeBack);
    BOOST_TEST_MESSAGE("whole: " << returning << ", waiting " << overload.served(6000, 600)
                                 << ", early return " << overload.served(Overload::Objective, 600));
    BOOST_TEST(returning > overload.served(6000, 600));
    BOOST_TEST(returning > overload.served(Overload::Objective, 600));
}
