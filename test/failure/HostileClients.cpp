// Tests a daemon beside clients that send or leave unread as much as they can.
#define BOOST_TEST_MODULE HostileClients
#include <boost/test/unit_test.hpp>

#include "base/QtTimerService.h"
#include "http/CallerReply.h"
#include "support/EventLoop.h"
#include "support/HostileCrowd.h"
#include "support/PlatformSite.h"
#include "support/ProcessLimits.h"

#include <csignal>
#include <sys/resource.h>

using namespace cranberry;

namespace {

/// The memory of the smallest machines.
constexpr qint64 MemoryKilobytes = 88 * 1024;
/// Descriptors that a daemon may open, and those of them that stay free for its own connections.
constexpr int ManyDescriptors = 4100;
constexpr int FewDescriptors = 400;
constexpr int FreeDescriptors = 32;
constexpr int MaxHeaderBytes = 4096;
constexpr int MaxBodyBytes = 100'000;
constexpr int Targets = 4;
constexpr int OrdinaryTries = 10;
constexpr std::chrono::milliseconds OrdinaryPause{500};
constexpr std::chrono::minutes HangLimit{2};
constexpr Milliseconds StillTime{2000};

const QByteArray RequestHead = "Host: site.example\r\nAuthorization: Bearer key\r\n"
                               "Cranberryquay-Deadline-Ms: 15000\r\nCranberryquay-Request-Id: ";

QByteArray requestId(int client, int number)
{
    return 'h' + QByteArray::number(client) + '-' + QByteArray::number(number);
}

/// A POST request up to the end of its headers; @p fields are whole lines.
QByteArray postHead(const QByteArray &path, const QByteArray &id, const QByteArray &fields)
{
    return "POST " + path + " HTTP/1.1\r\n" + RequestHead + id + "\r\n" + fields + "\r\n";
}

QByteArray getRequest(const QByteArray &path, const QByteArray &id)
{
    return "GET " + path + " HTTP/1.1\r\n" + RequestHead + id + "\r\n\r\n";
}

/// Lets a crowd hold more connections than the default limit of a process.
void raiseDescriptorLimit()
{
    rlimit limits{};
    ::getrlimit(RLIMIT_NOFILE, &limits);
    limits.rlim_cur = limits.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limits);
}

/// A daemon with the memory and descriptors of a small machine, and ordinary targets.
struct HostileSite {
    explicit HostileSite(int descriptors = ManyDescriptors, int maxBodyBytes = MaxBodyBytes)
        : descriptorLimit(descriptors)
    {
        raiseDescriptorLimit();
        site.setCallerLimits(MaxHeaderBytes, maxBodyBytes);
        site.configure(1);
        site.setDescriptorLimit(descriptors);
        site.setSetting(QStringLiteral("memory_mb"), MemoryKilobytes / 1024);
        for (int i = 0; i < Targets; ++i)
            runners.push_back(&site.addRunner("plain-" + QByteArray::number(i), "plain"));
        site.startDaemon();
    }

    qint64 process() const { return site.processes().first(); }

    /// Runs @p plan until its clients can write no more; the daemon is killed if it holds twice
    /// its memory.
    void endure(test::CrowdPlan plan)
    {
        crowd = std::make_unique<test::HostileCrowd>(site.callers(0), std::move(plan));
        int mostDescriptors = 0;
        QtTimerService timers;
        std::optional<MonotonicTime> settledAt;
        const bool hasSettled = test::waitFor(
            [&] {
                mostDescriptors = std::max(mostDescriptors, test::openDescriptors(process()));
                if (test::peakKilobytes(process()) > 2 * MemoryKilobytes)
                    site.signal(0, SIGKILL);
                else
                    peak = std::max(peak, test::peakKilobytes(process()));
                if (!crowd->isSettled())
                    settledAt.reset();
                else if (!settledAt)
                    settledAt = timers.now();
                // Until then it has accepted all connections and works on what it has read.
                const bool isOver = settledAt && timers.now() - *settledAt > StillTime;
                return site.hasEnded(0) || isOver;
            },
            HangLimit);
        BOOST_TEST_MESSAGE("peak " << peak << " KB, descriptors " << mostDescriptors << ", written "
                                   << crowd->writtenBytes() << " bytes, closed " << crowd->closed()
                                   << ", log " << site.log(0).size() << " bytes");
        BOOST_TEST(hasSettled);
        BOOST_TEST(!site.hasEnded(0));
        BOOST_TEST(mostDescriptors <= descriptorLimit - FreeDescriptors);
    }

    /// Checks that one ordinary request is answered while the crowd stays connected.
    void checkOrdinaryRequest(const QByteArray &body = "ordinary")
    {
        int status = 0;
        for (int i = 0; i < OrdinaryTries && status != 200 && !site.hasEnded(0); ++i) {
            const auto call =
                site.callWithBody(0, "/safe/ordinary", "ordinary-" + QByteArray::number(i), body);
            status = call->end == HttpExchangeEnd::Complete ? call->response.status : 0;
            if (status != 200)
                test::waitFor([] { return false; }, OrdinaryPause);
        }
        BOOST_TEST(status == 200);
        BOOST_TEST(!site.hasEnded(0));
        BOOST_TEST(test::peakKilobytes(process()) < MemoryKilobytes);
    }

    const int descriptorLimit;
    test::PlatformSite site;
    std::vector<standin::RunnerEmulator *> runners;
    qint64 peak = 0;
    std::unique_ptr<test::HostileCrowd> crowd;
};

test::CrowdPlan repeating(int clients, const QByteArray &start, const QByteArray &repeated,
                          int times)
{
    QByteArray block;
    while (block.size() < 16 * 1024)
        block += repeated;
    return {clients, [=](int, int written) {
                return written == 0 ? start : written <= times ? block : QByteArray();
            }};
}

} // namespace

// Guards against trailers without end, which were kept until their end.
BOOST_AUTO_TEST_CASE(EndlessTrailers)
{
    HostileSite hostile;
    const QByteArray start =
        postHead("/safe/a", "trailers", "Transfer-Encoding: chunked\r\n") + "5\r\nhello\r\n0\r\n";
    hostile.endure(repeating(8, start, "X-Filler: " + QByteArray(1000, 'x') + "\r\n", 2000));
    hostile.checkOrdinaryRequest();
}

// Guards against the extension of a chunk that is kept until its end.
BOOST_AUTO_TEST_CASE(EndlessChunkExtensions)
{
    HostileSite hostile;
    const QByteArray start =
        postHead("/safe/a", "extensions", "Transfer-Encoding: chunked\r\n") + "5;a=";
    hostile.endure(repeating(8, start, QByteArray(1000, 'x'), 2000));
    hostile.checkOrdinaryRequest();
}

// Guards against responses that are kept for clients that send requests ahead and read nothing.
BOOST_AUTO_TEST_CASE(UnreadResponses)
{
    constexpr int Requests = 400;
    HostileSite hostile;
    for (standin::RunnerEmulator *runner : hostile.runners) {
        runner->setOverride(
            [runner](const HttpRequest &request, const standin::RunnerEmulator::Reply &reply) {
                if (!request.path.startsWith("/safe/large"))
                    return false;
                reply->send({200, runner->answerHeaders(request), QByteArray(60'000, 'a')});
                return true;
            });
    }
    hostile.endure({8, [](int client, int written) {
                        return written < Requests
                            ? getRequest("/safe/large", requestId(client, written))
                            : QByteArray();
                    }});
    hostile.checkOrdinaryRequest();
}

// Guards against rejections that are kept for clients that send requests ahead and read nothing.
BOOST_AUTO_TEST_CASE(UnreadRejections)
{
    const QByteArray request = "GET / HTTP/1.1\r\n\r\n";
    HostileSite hostile;
    hostile.endure(repeating(8, request, request, 330));
    hostile.checkOrdinaryRequest();
}

// Guards against large responses to many clients that read nothing.
BOOST_AUTO_TEST_CASE(LargeResponsesUnread)
{
    HostileSite hostile;
    for (standin::RunnerEmulator *runner : hostile.runners) {
        runner->setOverride(
            [runner](const HttpRequest &request, const standin::RunnerEmulator::Reply &reply) {
                if (!request.path.startsWith("/safe/large"))
                    return false;
                reply->send({200, runner->answerHeaders(request), QByteArray(3'000'000, 'a')});
                return true;
            });
    }
    hostile.endure({60, [](int client, int written) {
                        return written == 0 ? getRequest("/safe/large", requestId(client, 0))
                                            : QByteArray();
                    }});
    hostile.checkOrdinaryRequest();
}

// Guards against bodies whose last byte does not come, each within the limit.
BOOST_AUTO_TEST_CASE(UnfinishedBodies)
{
    constexpr int Blocks = 10;
    HostileSite hostile;
    hostile.endure(
        {1500, [](int client, int written) {
             if (written == 0)
                 return postHead("/safe/a", requestId(client, 0),
                                 "Content-Length: " + QByteArray::number(MaxBodyBytes) + "\r\n");
             const int bytes = MaxBodyBytes / Blocks;
             return written > Blocks ? QByteArray()
                                     : QByteArray(written < Blocks ? bytes : bytes - 1, 'b');
         }});
    hostile.checkOrdinaryRequest();
    hostile.checkOrdinaryRequest(QByteArray(MaxBodyBytes, 'o'));
}

// Guards against headers of a few bytes each, which cost many times their size.
BOOST_AUTO_TEST_CASE(UnfinishedHeaders)
{
    HostileSite hostile;
    QByteArray fields;
    while (fields.size() < MaxHeaderBytes - 600)
        fields += "a:\r\n";
    hostile.endure(
        {1500, [fields](int client, int written) {
             return written == 0
                 ? postHead("/safe/a", requestId(client, 0), fields + "Content-Length: 2\r\n") + 'b'
                 : QByteArray();
         }});
    hostile.checkOrdinaryRequest();
}

// Guards against requests that are read ahead while those before them are in progress.
BOOST_AUTO_TEST_CASE(RequestsAheadOfSlowOnes)
{
    constexpr int Requests = 8;
    HostileSite hostile;
    for (standin::RunnerEmulator *runner : hostile.runners)
        runner->setOverride([](const HttpRequest &request, const standin::RunnerEmulator::Reply &) {
            return request.path.startsWith("/safe/slow");
        });
    hostile.endure({1000, [](int client, int written) {
                        if (written == 0)
                            return getRequest("/safe/slow", requestId(client, 0));
                        if (written > Requests)
                            return QByteArray();
                        return postHead("/safe/slow", requestId(client, written),
                                        "Content-Length: 32000\r\n")
                            + QByteArray(32'000, 'b');
                    }});
    hostile.checkOrdinaryRequest();
}

// Guards against the bodies of requests in progress, of which each is within the limit.
BOOST_AUTO_TEST_CASE(BodiesInProgress)
{
    constexpr int LargeBodyBytes = 4'000'000;
    HostileSite hostile(ManyDescriptors, LargeBodyBytes);
    for (standin::RunnerEmulator *runner : hostile.runners)
        runner->setOverride([](const HttpRequest &request, const standin::RunnerEmulator::Reply &) {
            return request.path.startsWith("/unsafe/slow");
        });
    hostile.endure({30, [](int client, int written) {
                        return written == 0
                            ? postHead("/unsafe/slow", requestId(client, 0),
                                       "Content-Length: " + QByteArray::number(LargeBodyBytes)
                                           + "\r\n")
                                + QByteArray(LargeBodyBytes, 'b')
                            : QByteArray();
                    }});
    hostile.checkOrdinaryRequest();
}

// Guards against connections without a request that take all descriptors.
BOOST_AUTO_TEST_CASE(SilentConnections)
{
    HostileSite hostile(FewDescriptors);
    hostile.endure({900, [](int, int) { return QByteArray(); }});
    hostile.checkOrdinaryRequest();
}

// Guards against kept connections that take all descriptors.
BOOST_AUTO_TEST_CASE(KeptConnections)
{
    HostileSite hostile(FewDescriptors);
    hostile.endure({900, [](int client, int written) {
                        return written == 0 ? getRequest("/safe/a", requestId(client, 0))
                                            : QByteArray();
                    }});
    hostile.checkOrdinaryRequest();
}

// Guards against clients that read nothing and keep a process from ending.
BOOST_AUTO_TEST_CASE(ShutdownBesideACrowd)
{
    HostileSite hostile;
    const QByteArray request = "GET / HTTP/1.1\r\n\r\n";
    hostile.endure(repeating(8, request, request, 330));
    hostile.site.signal(0, SIGTERM);
    BOOST_TEST(test::waitFor([&] { return hostile.site.hasEnded(0); }));
    BOOST_TEST(hostile.site.hasEndedWell(0));
}

// A single request inside the limits is answered.
BOOST_AUTO_TEST_CASE(LargestRequestInCalm)
{
    constexpr int LargeBodyBytes = 4'000'000;
    HostileSite hostile(FewDescriptors, LargeBodyBytes);
    hostile.checkOrdinaryRequest(QByteArray(LargeBodyBytes, 'o'));
}
