// Stops daemons whose grace time has changed since they started.
#define BOOST_TEST_MODULE ChangedGraceTime
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "base/QtTimerService.h"
#include "base/TimerSubscription.h"
#include "http/CallerReply.h"
#include "support/DeployFields.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"
#include "support/SettingsTemplate.h"

#include <csignal>

using namespace cranberry;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr int Requests = 3;

/// How a daemon learns of a change of its settings file.
enum class Notice {
    Hangup,
    None,
};

std::ostream &operator<<(std::ostream &out, Notice notice)
{
    return out << (notice == Notice::Hangup ? "SIGHUP" : "no signal");
}

struct Site {
    Site()
    {
        site.configure(1);
        plain.setOverride(
            [this](const HttpRequest &request, const standin::RunnerEmulator::Reply &reply) {
                if (request.path.startsWith("/v1/"))
                    return false;
                works.push_back(timers.after(work, [this, request, reply] {
                    reply->send({200, plain.answerHeaders(request), "answer"});
                }));
                return true;
            });
    }

    QByteArray settings(double graceSeconds) const
    {
        return test::renderedDeploySettings(test::withField(test::deployFields(site.storeAddress()),
                                                            "bounds.graceS", graceSeconds));
    }

    void change(const QByteArray &content, Notice notice)
    {
        site.changeSettings(0, content);
        if (notice == Notice::None)
            return;
        site.signal(0, SIGHUP);
        BOOST_REQUIRE(
            test::waitFor([&] { return site.log(0).contains("name=settings.reloaded"); }));
    }

    void sendRequests()
    {
        for (int i = 0; i < Requests; ++i)
            calls.push_back(site.send(0, "POST", "/unsafe/a", "r" + QByteArray::number(i)));
        BOOST_REQUIRE(test::waitFor([&] { return works.size() == Requests; }));
    }

    /// Stops the daemon as the platform does, which kills it after @p grace.
    void stop(Milliseconds grace)
    {
        site.signal(0, SIGTERM);
        const auto kill = timers.after(grace, [this] { site.signal(0, SIGKILL); });
        BOOST_REQUIRE(test::waitFor([&] { return site.hasEnded(0); }));
        BOOST_TEST(site.hasEndedWell(0));
    }

    /// Checks that each request got a whole response with @p status.
    void checkResponses(int status)
    {
        for (const auto &call : calls) {
            BOOST_REQUIRE(test::PlatformSite::finish(call));
            BOOST_CHECK(call->end == HttpExchangeEnd::Complete);
            BOOST_TEST(call->response.status == status);
        }
    }

    test::PlatformSite site;
    standin::RunnerEmulator &plain = site.addRunner("plain-1", "plain");
    QtTimerService timers;
    Milliseconds work{30000};
    std::vector<std::unique_ptr<TimerSubscription>> works;
    std::vector<std::shared_ptr<test::ClientCall>> calls;
};

const std::vector<Notice> Notices{Notice::Hangup, Notice::None};

} // namespace

// Guards against requests that are cut without an answer at the end of a grace time that became
// shorter after the daemon had started.
BOOST_DATA_TEST_CASE(ShorterGraceTimeCutsNobody, data::make(Notices))
{
    Site site;
    site.site.startDaemonWith(site.settings(8));
    site.sendRequests();
    site.change(site.settings(2.5), sample);
    site.stop(2500ms);
    site.checkResponses(504);
}

// Guards against requests that are given up although a longer grace time would let them end.
BOOST_DATA_TEST_CASE(LongerGraceTimeIsUsed, data::make(Notices))
{
    Site site;
    site.work = 3s;
    site.site.startDaemonWith(site.settings(2));
    site.sendRequests();
    site.change(site.settings(10.5), sample);
    site.stop(10500ms);
    site.checkResponses(200);
}

// Guards against a file that is being written, and would undo the grace time that is in force.
BOOST_AUTO_TEST_CASE(UnusableFileChangesNoGraceTime)
{
    Site site;
    site.site.startDaemonWith(site.settings(2.5));
    site.sendRequests();
    site.change(site.settings(2.5).first(40), Notice::None);
    site.stop(2500ms);
    site.checkResponses(504);
}

// Guards against a stop whose end moves when the file changes after its signal.
BOOST_AUTO_TEST_CASE(GraceTimeOfAStopInProgressStays)
{
    Site site;
    site.site.startDaemonWith(site.settings(2.5));
    site.sendRequests();
    site.site.signal(0, SIGTERM);
    BOOST_REQUIRE(test::waitFor([&] { return site.site.log(0).contains("name=daemon.draining"); }));
    site.change(site.settings(60), Notice::Hangup);
    site.stop(2500ms);
    site.checkResponses(504);
}
