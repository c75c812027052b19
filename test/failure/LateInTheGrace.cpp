// Tests requests that reach one daemon of several late in the grace time of its planned shutdown.
#define BOOST_TEST_MODULE LateInTheGrace
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "base/QtTimerService.h"
#include "base/TimerSubscription.h"
#include "http/CallerReply.h"
#include "standins/users/RetryChecks.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"

#include <QElapsedTimer>
#include <QSet>
#include <QTcpSocket>

#include <csignal>
#include <list>
#include <map>
#include <random>

using namespace cranberry;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr Milliseconds Grace{5000};
constexpr int CalmRequests = 200;
constexpr Milliseconds CalmWork{20};
constexpr Milliseconds SendInterval{10};
constexpr Milliseconds UploadInterval{50};
constexpr qsizetype UploadBytes = 4000;

/// A client that sends its request in two parts.
struct SlowUpload {
    QByteArray id;
    QTcpSocket socket;
    QByteArray answer;

    bool isOver()
    {
        answer += socket.readAll();
        return socket.state() == QAbstractSocket::UnconnectedState;
    }
    bool hasAnswer() const
    {
        const qsizetype headEnd = answer.indexOf("\r\n\r\n");
        const qsizetype at = answer.indexOf("Content-Length: ");
        return headEnd > 0 && at > 0
            && answer.size() - headEnd - 4 == answer.mid(at + 16).split('\r').first().toLongLong();
    }
};

/// Two daemons in calm, of which the first is stopped.
struct Fixture {
    explicit Fixture(Milliseconds routeTimeout)
    {
        site.setPlainTimes(routeTimeout, 150ms);
        site.setGrace(Grace);
        site.configure(1);
        for (int i = 0; i < 2; ++i)
            site.startDaemon();
        plain.setOverride(
            [this](const HttpRequest &request, const standin::RunnerEmulator::Reply &reply) {
                if (request.path.startsWith("/v1/"))
                    return false;
                ran.insert(standin::requestIdOf(request));
                std::uniform_int_distribution<qint64> work(leastWork.count(), mostWork.count());
                const auto number = works.size();
                works.push_back(
                    timers.after(Milliseconds(work(random)), [this, request, reply, number] {
                        reply->send({200, plain.answerHeaders(request), "answer"});
                        works[number].reset();
                    }));
                return true;
            });
    }

    /// The daemon learns how long the service takes.
    void passCalm()
    {
        for (int i = 0; i < CalmRequests; ++i)
            BOOST_REQUIRE(
                site.call(0, "POST", "/unsafe/a", "calm-" + QByteArray::number(i))->response.status
                == 200);
    }

    /// Sends at-most-once requests to the first daemon, whole ones and slow uploads, until its
    /// process has ended. The platform kills it at the end of the grace time.
    void stop()
    {
        // It keeps the daemon from ending as soon as it is idle.
        model.setGeneration(2000, 10ms);
        stream = site.send(0, "POST", "/model/a", "stream", test::PlatformSite::generation());
        BOOST_REQUIRE(test::waitFor([&] { return stream->response.body.size() > 100; }));
        site.signal(0, SIGTERM);
        sinceSignal.start();
        const auto kill = timers.after(Grace, [this] { site.signal(0, SIGKILL); });
        const auto sending = timers.every(SendInterval, [&] {
            const QByteArray id = "r" + QByteArray::number(qlonglong(calls.size()));
            calls[id] = site.send(0, "POST", "/unsafe/a", id);
            sentAt[id] = sinceSignal.elapsed();
        });
        const auto uploading = timers.every(UploadInterval, [&] { beginUpload(); });
        BOOST_TEST(test::waitFor([&] { return site.hasEnded(0); }));
        BOOST_TEST(site.hasEndedWell(0));
    }

    void beginUpload()
    {
        SlowUpload &upload = uploads.emplace_back();
        upload.id = "u" + QByteArray::number(qlonglong(uploads.size()));
        upload.socket.connectToHost(QHostAddress::LocalHost, site.callers(0).port);
        const QByteArray request = "POST /unsafe/a HTTP/1.1\r\nHost: site.example\r\n"
                                   "Authorization: Bearer key\r\nConnection: close\r\n"
                                   "Cranberryquay-Deadline-Ms: 15000\r\n"
                                   "Cranberryquay-Request-Id: "
            + upload.id + "\r\nContent-Length: " + QByteArray::number(UploadBytes) + "\r\n\r\n"
            + QByteArray(UploadBytes, 'u');
        upload.socket.write(request.chopped(1));
        sentAt[upload.id] = sinceSignal.elapsed();
        std::uniform_int_distribution<int> delay(0, 1500);
        works.push_back(
            timers.after(Milliseconds(delay(random)), [&upload] { upload.socket.write("u"); }));
    }

    /// Checks that each request that a target ran was answered, however it ended there.
    void checkAnswers()
    {
        int lost = 0;
        for (const auto &[id, call] : calls) {
            BOOST_REQUIRE(test::PlatformSite::finish(call));
            const bool isAnswered = call->end == HttpExchangeEnd::Complete;
            lost += ran.contains(id) && !isAnswered;
            BOOST_TEST((isAnswered || !ran.contains(id)),
                       id.toStdString() << " sent at " << sentAt[id] << " ms");
            BOOST_TEST((!isAnswered || call->response.status != 503 || !ran.contains(id)));
        }
        for (SlowUpload &upload : uploads) {
            BOOST_TEST(test::waitFor([&] { return upload.isOver(); }));
            lost += ran.contains(upload.id) && !upload.hasAnswer();
            BOOST_TEST((upload.hasAnswer() || !ran.contains(upload.id)),
                       upload.id.toStdString() << " sent at " << sentAt[upload.id] << " ms");
        }
        BOOST_TEST_MESSAGE(calls.size()
                           << " requests, " << uploads.size() << " uploads, "
                           << ran.size() - CalmRequests << " ran, " << lost << " lost");
        BOOST_TEST(ran.size() > CalmRequests);
    }

    test::PlatformSite site;
    standin::RunnerEmulator &plain = site.addRunner("plain-1", "plain");
    standin::RunnerEmulator &model = site.addRunner("model-1", "model");
    QtTimerService timers;
    Milliseconds leastWork = CalmWork;
    Milliseconds mostWork = CalmWork;
    std::mt19937 random{1};
    std::vector<std::unique_ptr<TimerSubscription>> works;
    std::shared_ptr<test::ClientCall> stream;
    QElapsedTimer sinceSignal;
    std::map<QByteArray, std::shared_ptr<test::ClientCall>> calls;
    std::list<SlowUpload> uploads;
    std::map<QByteArray, qint64> sentAt;
    QSet<QByteArray> ran;
};

/// Shorter than the grace time, as long, and far longer.
const std::vector<qint64> RouteTimeouts{1500, Grace.count(), 20000};

} // namespace

// Guards against late requests that are passed on and cut without an answer as the process ends,
// when they take as long as before.
BOOST_DATA_TEST_CASE(LateRequestsAreAnswered, data::make(RouteTimeouts))
{
    Fixture fixture{Milliseconds(sample)};
    fixture.passCalm();
    fixture.stop();
    fixture.checkAnswers();
}

// Guards against the same when they take far longer than any request before, or never end.
BOOST_DATA_TEST_CASE(LateRequestsThatTakeLongAreAnswered, data::make(RouteTimeouts))
{
    Fixture fixture{Milliseconds(sample)};
    fixture.passCalm();
    fixture.mostWork = 60s;
    fixture.stop();
    fixture.checkAnswers();
}
