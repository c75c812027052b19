// Tests a daemon that is alone, so that no other daemon reports what it has placed.
#define BOOST_TEST_MODULE LoneDaemon
#include <boost/test/unit_test.hpp>

#include "support/PlatformSite.h"

using namespace cranberry;

// Guards against a generation that waits at an empty engine until it is rejected: short generations
// in quick succession fill the slots by count, and nothing asks the engine for a newer report.
BOOST_AUTO_TEST_CASE(ShortGenerationsInSuccessionAreServed)
{
    test::PlatformSite site;
    site.configure(1);
    standin::RunnerEmulator &engine = site.addRunner("model-1", "model");
    engine.setGeneration(3, Milliseconds(2));
    const int daemon = site.startDaemon();
    for (int i = 0; i < 40; ++i) {
        const auto call = site.call(daemon, "POST", "/model/a", "r" + QByteArray::number(i),
                                    test::PlatformSite::generation());
        BOOST_TEST((call->response.body == test::PlatformSite::events(3)));
    }
}
