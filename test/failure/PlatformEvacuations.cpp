// Data centres that the operator evacuates.
#define BOOST_TEST_MODULE PlatformEvacuations
#include <boost/test/unit_test.hpp>

#include "support/EventLoop.h"
#include "support/PlatformSite.h"

#include <csignal>

using namespace cranberry;
using Door = standin::StoreEmulator::Door;
using Runner = standin::RunnerEmulator;

namespace {

const QString Hall = QStringLiteral("hall");
const QString Yard = QStringLiteral("yard");

struct Fixture {
    Fixture() { site.configure(1); }

    int plainStatus(int daemon)
    {
        return site.call(daemon, "GET", "/safe/a", nextId())->response.status;
    }

    bool generates(int daemon)
    {
        const auto call =
            site.send(daemon, "POST", "/model/a", nextId(), test::PlatformSite::generation());
        return test::PlatformSite::finish(call)
            && call->response.body == test::PlatformSite::events(3);
    }

    QByteArray nextId() { return "r" + QByteArray::number(++requests); }

    bool knows(int daemon, bool isEvacuated)
    {
        const QByteArray gauge = isEvacuated ? "cranberry_relay_evacuated_data_centres 1"
                                             : "cranberry_relay_evacuated_data_centres 0";
        return test::waitFor([&] { return site.metrics(daemon).contains(gauge); });
    }

    qsizetype ranInTheHall() const { return plainHall.ran().size() + modelHall.ran().size(); }

    test::PlatformSite site;
    Runner &plainHall = site.addRunner("plain-1", "plain", Hall);
    Runner &plainYard = site.addRunner("plain-2", "plain", Yard);
    Runner &modelHall = site.addRunner("model-1", "model", Hall);
    Runner &modelYard = site.addRunner("model-2", "model", Yard);
    int requests = 0;
};

} // namespace

// The operator emptied a data centre for repairs, and daemons went on sending requests there, as
// they never looked at that key. Nothing goes there now until it is taken back.
BOOST_FIXTURE_TEST_CASE(EvacuatedDataCentreGetsNothing, Fixture)
{
    const int daemon = site.startDaemon();
    site.evacuate(Hall, true);
    BOOST_REQUIRE(knows(daemon, true));
    const qsizetype before = ranInTheHall();
    for (int i = 0; i < 5; ++i) {
        BOOST_TEST(plainStatus(daemon) == 200);
        BOOST_TEST(generates(daemon));
    }
    BOOST_TEST(ranInTheHall() == before);
    site.evacuate(Hall, false);
    BOOST_REQUIRE(knows(daemon, false));
    BOOST_TEST(test::waitFor([&] {
        generates(daemon);
        plainStatus(daemon);
        return ranInTheHall() > before;
    }));
}

// All targets of a service stood in the evacuated data centre, and callers waited for room until
// their time was over. They are refused at once and told when to come back; nothing has run.
BOOST_FIXTURE_TEST_CASE(NothingLeftIsRefusedAtOnce, Fixture)
{
    const int daemon = site.startDaemon();
    site.evacuate(Hall, true);
    site.evacuate(Yard, true);
    BOOST_REQUIRE(test::waitFor([&] { return plainStatus(daemon) == 503; }));
    const auto refused =
        site.call(daemon, "POST", "/model/a", nextId(), test::PlatformSite::generation());
    BOOST_TEST(refused->response.status == 503);
    BOOST_TEST(refused->response.headers.contains("Retry-After"));
    BOOST_TEST(!site.log(daemon).contains("relay.waiting"));
    BOOST_TEST(modelHall.ran().isEmpty());
    BOOST_TEST(modelYard.ran().isEmpty());
}

// The store turned one daemon away while a data centre was evacuated, and later taken back. It
// learns both from a daemon that the store serves.
BOOST_FIXTURE_TEST_CASE(OneTurnedAwayLearnsFromAnother, Fixture)
{
    site.startDaemon();
    const int turnedAway = site.startDaemon(std::chrono::seconds(30), Door::Second);
    site.store().refuse(Door::Second, true);
    site.evacuate(Hall, true);
    BOOST_TEST(knows(turnedAway, true));
    site.evacuate(Hall, false);
    BOOST_TEST(knows(turnedAway, false));
}

// A daemon that starts in the middle of an evacuation, killed before it, sends nothing there.
BOOST_FIXTURE_TEST_CASE(RestartedDaemonKnowsTheEvacuation, Fixture)
{
    const int daemon = site.startDaemon();
    site.signal(daemon, SIGKILL);
    BOOST_REQUIRE(test::waitFor([&] { return site.hasEnded(daemon); }));
    site.evacuate(Hall, true);
    site.restart(daemon);
    BOOST_REQUIRE(test::waitFor([&] { return site.isReady(daemon); }));
    const qsizetype before = ranInTheHall();
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(plainStatus(daemon) == 200);
    BOOST_TEST(ranInTheHall() == before);
}

// An evacuation was taken back while the store kept no history of it: the read that follows lacks
// the key, and the daemons that others feed must hear of a change that has no key any more.
BOOST_FIXTURE_TEST_CASE(EndReachesDaemonsThatAreFed, Fixture)
{
    constexpr int Daemons = 7;
    for (int i = 0; i < Daemons; ++i)
        site.startDaemon();
    site.evacuate(Hall, true);
    for (int i = 0; i < Daemons; ++i)
        BOOST_TEST(knows(i, true));
    site.evacuate(Hall, false);
    site.store().compact();
    site.store().cutWatches(false);
    for (int i = 0; i < Daemons; ++i)
        BOOST_TEST(knows(i, false));
}

// A stream ran in a data centre when it was evacuated. It is not cut off: its caller gets every
// event once and in order.
BOOST_FIXTURE_TEST_CASE(RunningStreamIsNotCutOff, Fixture)
{
    constexpr int Events = 150;
    const int daemon = site.startDaemon();
    for (Runner *runner : {&modelHall, &modelYard})
        runner->setGeneration(Events, Milliseconds(10));
    const auto call =
        site.send(daemon, "POST", "/model/a", nextId(), test::PlatformSite::generation());
    BOOST_REQUIRE(test::waitFor([&] { return call->response.body.size() > 100; }));
    const bool isInTheHall = modelHall.generating() == 1;
    site.evacuate(isInTheHall ? Hall : Yard, true);
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->response.body == test::PlatformSite::events(Events)));
}
