// Tests the removal of entries when time passes between two readings of the clock in one step, as
// it does in a daemon that is not scheduled for some milliseconds.
#define BOOST_TEST_MODULE RemovalGraceEndsBetweenReadings
#include <boost/test/unit_test.hpp>

#include "base/QtTimerService.h"
#include "base/TimerSubscription.h"
#include "http/HttpClient.h"
#include "relay/RelayCounters.h"
#include "relay/StoreMirror.h"
#include "relay/StoreProtocol.h"
#include "support/EventLoop.h"
#include "support/ManualTimers.h"

#include <QDeadlineTimer>
#include <QEventLoop>

using namespace cranberry;
using namespace std::chrono_literals;

namespace {

const QString FirstKey = QStringLiteral("targets/x");
const QString SecondKey = QStringLiteral("targets/y");
const HttpEndpoint Nowhere{QStringLiteral("127.0.0.1"), 1};
/// Entries that may have lapsed during an outage are kept for this time; see StoreMirror.
constexpr Milliseconds RemovalGrace{2000};
constexpr Milliseconds PauseAtReading{20};
/// More than the time that the readings of one step take.
constexpr Milliseconds Before{200};

/// A timer service whose clock advances with each reading and which, like QtTimerService, never
/// calls back after a negative delay.
class PausingTimers final : public TimerService
{
public:
    MonotonicTime now() const override
    {
        m_passed += m_pause;
        return m_timers.now() + m_passed;
    }
    std::unique_ptr<TimerSubscription> every(Milliseconds interval, Callback callback) override
    {
        return m_timers.every(interval, std::move(callback));
    }
    std::unique_ptr<TimerSubscription> after(Milliseconds delay, Callback callback) override
    {
        if (delay < 0ms)
            return std::make_unique<TimerSubscription>();
        return m_timers.after(delay, std::move(callback));
    }

    void advance(Milliseconds duration) { m_timers.advance(duration); }
    void setPause(Milliseconds pause) { m_pause = pause; }

private:
    test::ManualTimers m_timers;
    mutable Milliseconds m_passed{0};
    Milliseconds m_pause{0};
};

StoreAnswer answerOf(const QList<StoreItem> &items, qint64 asOf)
{
    StoreAnswer answer;
    answer.kind = StoreAnswer::Kind::Items;
    answer.items = items;
    answer.asOf = Revision(asOf);
    return answer;
}

StoreItem entry(const QString &key, qint64 revision)
{
    return {key, QByteArray("value"), Revision(revision), false};
}

StoreItem removal(const QString &key, qint64 revision)
{
    return {key, QByteArray(), Revision(revision), true};
}

struct Fixture {
    Fixture()
    {
        test::ensureApplication();
        StoreMirrorFeed feed;
        feed.isFed = [this] { return isFed; };
        feed.defersStoreCalls = [] { return true; };
        feed.askPeers = [] { return true; };
        mirror.setFeed(feed);
        mirror.setCallbacks({[](const StoreItem &) {}, [](const QString &) {}});
        mirror.start();
    }

    bool has(const QString &key) const { return mirror.items().contains(key); }

    /// The mirror is cut off and then fed again; a grace period begins.
    void endOutage()
    {
        mirror.mergePeerCopy({entry(FirstKey, 4), entry(SecondKey, 4)}, {FirstKey, SecondKey},
                             Revision(5));
        BOOST_REQUIRE(mirror.applyFeed(answerOf({}, 5), Revision(5)));
        isFed = false;
        mirror.checkFeed();
        mirror.mergePeerCopy({}, {SecondKey}, Revision(8));
        isFed = true;
        BOOST_REQUIRE(has(FirstKey));
    }

    bool isFed = true;
    PausingTimers timers;
    HttpClient client{timers};
    StoreProtocol protocol;
    RelayCounters counters;
    StoreMirror mirror{timers, client, Nowhere, protocol, counters, QStringLiteral("targets/")};
};

} // namespace

// The behaviour of the timer service that the test below assumes.
BOOST_AUTO_TEST_CASE(NegativeDelayNeverEnds)
{
    test::ensureApplication();
    QtTimerService timers;
    bool isCalled = false;
    const auto negative = timers.after(-5ms, [&isCalled] { isCalled = true; });
    bool isOver = false;
    const auto over = timers.after(200ms, [&isOver] { isOver = true; });
    QEventLoop loop;
    while (!isOver)
        loop.processEvents(QEventLoop::WaitForMoreEvents);
    BOOST_TEST(!isCalled);
}

// Guards against requests to targets that are gone: the grace period ended between the comparison
// with its end and the computation of the delay until then, and the removal was never carried out.
BOOST_AUTO_TEST_CASE(EntriesAreRemovedWheneverTheGracePeriodEnds)
{
    int kept = 0;
    for (Milliseconds before = 0ms; before < Before; before += 1ms) {
        Fixture fixture;
        fixture.endOutage();
        fixture.timers.advance(RemovalGrace - before);
        fixture.timers.setPause(PauseAtReading);
        BOOST_REQUIRE(fixture.mirror.applyFeed(answerOf({removal(SecondKey, 9)}, 9), Revision(8)));
        fixture.timers.setPause(0ms);
        fixture.timers.advance(10s);
        kept += fixture.has(FirstKey) || fixture.has(SecondKey) ? 1 : 0;
    }
    BOOST_TEST(kept == 0);
}
