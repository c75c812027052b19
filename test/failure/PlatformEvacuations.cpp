// Tests requests and streams while the operator evacuates a data centre.
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

    bool isGenerationWhole(int daemon)
    {
        const auto call =
            site.send(daemon, "POST", "/model/a", nextId(), test::PlatformSite::generation());
        return test::PlatformSite::finish(call)
            && call->response.body == test::PlatformSite::events(3);
    }

    QByteArray nextId() { return "r" + QByteArray::number(++requests); }

    bool reportsEvacuation(int daemon, bool isEvacuated)
    {
        const QByteArray gauge = isEvacuated ? "cranberry_relay_evacuated_data_centres 1"
                                             : "cranberry_relay_evacuated_data_centres 0";
        return test::waitFor([&] { return site.metrics(daemon).contains(gauge); });
    }

    qsizetype runsInHall() const { return plainHall.ran().size() + modelHall.ran().size(); }

    test::PlatformSite site;
    Runner &plainHall = site.addRunner("plain-1", "plain", Hall);
    Runner &plainYard = site.addRunner("plain-2", "plain", Yard);
    Runner &modelHall = site.addRunner("model-1", "model", Hall);
    Runner &modelYard = site.addRunner("model-2", "model", Yard);
    int requests = 0;
};

} // namespace

// Guards against requests to an evacuated data centre, which daemons sent because they did not read
// the key of the evacuation. Nothing is sent there until the evacuation is withdrawn.
BOOST_FIXTURE_TEST_CASE(EvacuatedDataCentreGetsNothing, Fixture)
{
    const int daemon = site.startDaemon();
    site.evacuate(Hall, true);
    BOOST_REQUIRE(reportsEvacuation(daemon, true));
    const qsizetype runsBefore = runsInHall();
    for (int i = 0; i < 5; ++i) {
        BOOST_TEST(plainStatus(daemon) == 200);
        BOOST_TEST(isGenerationWhole(daemon));
    }
    BOOST_TEST(runsInHall() == runsBefore);
    site.evacuate(Hall, false);
    BOOST_REQUIRE(reportsEvacuation(daemon, false));
    BOOST_TEST(test::waitFor([&] {
        isGenerationWhole(daemon);
        plainStatus(daemon);
        return runsInHall() > runsBefore;
    }));
}

// Guards against callers that wait for capacity until their deadline when all targets of a service
// are in evacuated data centres. They are refused at once with a Retry-After header, and nothing
// has run.
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

// A daemon that the store refuses learns of the start and the end of an evacuation from a daemon
// that the store serves.
BOOST_FIXTURE_TEST_CASE(OneTurnedAwayLearnsFromAnother, Fixture)
{
    site.startDaemon();
    const int refusedDaemon = site.startDaemon(std::chrono::seconds(30), Door::Second);
    site.store().refuse(Door::Second, true);
    site.evacuate(Hall, true);
    BOOST_TEST(reportsEvacuation(refusedDaemon, true));
    site.evacuate(Hall, false);
    BOOST_TEST(reportsEvacuation(refusedDaemon, false));
}

// A daemon that was killed before an evacuation and restarts during it sends nothing to the
// evacuated data centre.
BOOST_FIXTURE_TEST_CASE(RestartedDaemonKnowsTheEvacuation, Fixture)
{
    const int daemon = site.startDaemon();
    site.signal(daemon, SIGKILL);
    BOOST_REQUIRE(test::waitFor([&] { return site.hasEnded(daemon); }));
    site.evacuate(Hall, true);
    site.restart(daemon);
    BOOST_REQUIRE(test::waitFor([&] { return site.isReady(daemon); }));
    const qsizetype runsBefore = runsInHall();
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(plainStatus(daemon) == 200);
    BOOST_TEST(runsInHall() == runsBefore);
}

// Guards against an evacuation that never ends on daemons fed by others: it is withdrawn while the
// store keeps no history, so that the read that follows lacks the key. The watching daemons must
// forward the deletion of the key.
BOOST_FIXTURE_TEST_CASE(EndReachesDaemonsThatAreFed, Fixture)
{
    constexpr int DaemonCount = 7;
    for (int i = 0; i < DaemonCount; ++i)
        site.startDaemon();
    site.evacuate(Hall, true);
    for (int i = 0; i < DaemonCount; ++i)
        BOOST_TEST(reportsEvacuation(i, true));
    site.evacuate(Hall, false);
    site.store().compact();
    site.store().cutWatches(false);
    for (int i = 0; i < DaemonCount; ++i)
        BOOST_TEST(reportsEvacuation(i, false));
}

// Guards against cutting a stream that runs in a data centre when it is evacuated: the caller gets
// every event once and in order.
BOOST_FIXTURE_TEST_CASE(RunningStreamIsNotCutOff, Fixture)
{
    constexpr int Events = 150;
    const int daemon = site.startDaemon();
    for (Runner *runner : {&modelHall, &modelYard})
        runner->setGeneration(Events, Milliseconds(10));
    const auto call =
        site.send(daemon, "POST", "/model/a", nextId(), test::PlatformSite::generation());
    BOOST_REQUIRE(test::waitFor([&] { return call->response.body.size() > 100; }));
    const bool isInHall = modelHall.generating() == 1;
    site.evacuate(isInHall ? Hall : Yard, true);
    BOOST_TEST(test::PlatformSite::finish(call));
    BOOST_TEST((call->response.body == test::PlatformSite::events(Events)));
}
