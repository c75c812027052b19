// Tests daemons and listeners that cannot listen on their port.
#define BOOST_TEST_MODULE PortTaken
#include <boost/test/unit_test.hpp>

#include "base/QtTimerService.h"
#include "base/TimerSubscription.h"
#include "http/CallerReply.h"
#include "http/HttpListener.h"
#include "http/HttpRequest.h"
#include "http/HttpResponse.h"
#include "support/EventLoop.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QProcess>
#include <QTcpServer>
#include <QTemporaryFile>

using namespace cranberry;

namespace {

struct Fixture {
    Fixture() { test::ensureApplication(); }

    QtTimerService timers;
    HttpListener listener{timers, [](const HttpRequest &, const std::shared_ptr<CallerReply> &) {},
                          [](ErrorKind) {
                              return HttpResponse{400, {}, {}};
                          }};
};

} // namespace

// Guards against a crash of a listener that is stopped or destroyed after it failed to listen.
BOOST_FIXTURE_TEST_CASE(ListenerStopsAfterItsPortWasTaken, Fixture)
{
    QTcpServer other;
    BOOST_REQUIRE(other.listen(QHostAddress::LocalHost));
    BOOST_TEST(!listener.listenOn({QStringLiteral("127.0.0.1"), other.serverPort()}));
    listener.stopAccepting();
}

// The same after an address that cannot be parsed.
BOOST_FIXTURE_TEST_CASE(ListenerStopsAfterAnInvalidAddress, Fixture)
{
    BOOST_TEST(!listener.listenOn({QStringLiteral("no address"), 0}));
    listener.stopAccepting();
}

// A listener can listen on another port after it failed.
BOOST_FIXTURE_TEST_CASE(ListenerListensAfterAFailure, Fixture)
{
    BOOST_TEST(!listener.listenOn({QStringLiteral("no address"), 0}));
    BOOST_TEST(bool(listener.listenOn({QStringLiteral("127.0.0.1"), 0})));
    listener.stopAccepting();
    listener.stopAccepting();
}

// Guards against a daemon that crashes instead of reporting that its port is taken.
BOOST_AUTO_TEST_CASE(DaemonSaysThatItsPortIsTaken)
{
    test::ensureApplication();
    QTcpServer other;
    BOOST_REQUIRE(other.listen(QHostAddress::LocalHost));
    const QString taken = QStringLiteral("127.0.0.1:%1").arg(other.serverPort());
    for (const char *name : {"callers", "readiness", "peer"}) {
        QJsonObject settings{{"vm", "vm"},
                             {"data_centre", "hall"},
                             {"callers", "127.0.0.1:0"},
                             {"readiness", "127.0.0.1:0"},
                             {"peer", "127.0.0.1:0"},
                             {"store", "127.0.0.1:1"}};
        settings.insert(QLatin1String(name), taken);
        QTemporaryFile file;
        BOOST_REQUIRE(file.open());
        file.write(QJsonDocument(settings).toJson());
        file.close();
        QProcess process;
        process.setProcessChannelMode(QProcess::MergedChannels);
        process.start(QStringLiteral(CRANBERRY_PROGRAM_DIRECTORY "/cranberryd-platform"),
                      {QStringLiteral("--settings"), file.fileName()});
        BOOST_REQUIRE(test::waitFor([&] { return process.state() == QProcess::NotRunning; }));
        BOOST_TEST((process.exitStatus() == QProcess::NormalExit), name);
        BOOST_TEST(process.exitCode() == 2, process.readAll().toStdString());
    }
}
