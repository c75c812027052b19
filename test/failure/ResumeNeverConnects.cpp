// A resume that never connects says nothing of the send before it.
#define BOOST_TEST_MODULE ResumeNeverConnects
#include <boost/test/unit_test.hpp>

#include "base/QtTimerService.h"
#include "base/TimerSubscription.h"
#include "delivery/AnswerSink.h"
#include "delivery/ClaimService.h"
#include "delivery/DeliveryContext.h"
#include "delivery/GenerationRun.h"
#include "delivery/TargetCancels.h"
#include "delivery/TargetDemand.h"
#include "delivery/TargetSource.h"
#include "http/HttpClient.h"
#include "support/EventLoop.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace cranberry;
using namespace cranberry::test;

namespace {

constexpr Milliseconds LongerThanConnecting{1500};
constexpr Milliseconds ShortSilence{200};

/// A listening socket that takes one connection into its queue and no more, so that further
/// connections neither come about nor fail.
class FullListener
{
public:
    FullListener()
        : m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        m_address.sin_family = AF_INET;
        m_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto *address = reinterpret_cast<sockaddr *>(&m_address);
        socklen_t length = sizeof(m_address);
        BOOST_REQUIRE(::bind(m_listener, address, length) == 0);
        BOOST_REQUIRE(::listen(m_listener, 0) == 0);
        BOOST_REQUIRE(::getsockname(m_listener, address, &length) == 0);
    }
    ~FullListener()
    {
        ::close(m_listener);
        ::close(m_filler);
        ::close(m_accepted);
    }
    FullListener(const FullListener &) = delete;
    FullListener &operator=(const FullListener &) = delete;

    quint16 port() const { return ntohs(m_address.sin_port); }

    bool accept()
    {
        m_accepted = ::accept(m_listener, nullptr, nullptr);
        return m_accepted >= 0;
    }
    /// Takes the one place in the queue.
    void fill()
    {
        m_filler = ::socket(AF_INET, SOCK_STREAM, 0);
        const auto *address = reinterpret_cast<const sockaddr *>(&m_address);
        BOOST_REQUIRE(::connect(m_filler, address, sizeof(m_address)) == 0);
    }
    /// Resets the accepted connection.
    void reset()
    {
        const linger now{1, 0};
        ::setsockopt(m_accepted, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        ::close(m_accepted);
        m_accepted = -1;
    }

private:
    int m_listener;
    int m_accepted = -1;
    int m_filler = -1;
    sockaddr_in m_address{};
};

/// Gives out one target and counts how often it is asked.
class OneTarget final : public TargetSource
{
public:
    explicit OneTarget(quint16 port)
        : m_port(port)
    {
    }
    void acquire(const TargetDemand &, Callback callback) override
    {
        ++acquired;
        callback(TargetAssignment{TargetId(QStringLiteral("engine")),
                                  {QStringLiteral("127.0.0.1"), m_port},
                                  Incarnation(1)});
    }
    void withdraw(const RequestId &) override { }
    void tokenReceived(const AttemptId &) override { }
    void attemptEnded(const AttemptId &, const TargetId &, AttemptOutcome) override { }
    void requestEnded(const RequestId &) override { }
    bool takeRetry(const WorkspaceId &, const TargetId &) override { return true; }

    int acquired = 0;

private:
    const quint16 m_port;
};

class AllClaims final : public ClaimService
{
public:
    void claim(const QByteArray &, const QByteArray &, const AttemptId &,
               Callback callback) override
    {
        callback(ClaimDecision());
    }
    void release(const QByteArray &, const AttemptId &) override { ++released; }

    int released = 0;
};

struct Fixture {
    Fixture() { ensureApplication(); }

    /// Sends an alert, which the engine takes, and blocks every further connection to it.
    std::shared_ptr<GenerationRun> startAlert(Milliseconds silence)
    {
        context.stallLimits = {Milliseconds(100), silence};
        GenerationRequest request;
        request.id = RequestId(QStringLiteral("alert"));
        request.path = "/v1/completions";
        request.body = "{}";
        request.atMostOnce = true;
        request.claimKey = "key";
        request.deadline = timers.now() + std::chrono::minutes(1);
        auto run = std::make_shared<GenerationRun>(
            context, request, [](GenerationRun &) {}, [](const ClaimDecision &) {});
        run->start();
        BOOST_REQUIRE(waitFor([this] { return engine.accept(); }));
        engine.fill();
        return run;
    }

    void checkOutcomeUnknown(const GenerationRun &run)
    {
        BOOST_REQUIRE(waitFor([&] { return run.hasEnded() || targets.acquired > 1; }));
        BOOST_TEST(targets.acquired == 1);
        BOOST_REQUIRE(run.failure().has_value());
        BOOST_CHECK(run.failure()->kind == ErrorKind::TargetFailed);
        BOOST_CHECK(run.failure()->ran == Ran::Maybe);
        BOOST_TEST(claims.released == 0);
    }

    QtTimerService timers;
    HttpClient client{timers};
    FullListener engine;
    OneTarget targets{engine.port()};
    TargetCancels cancels{client};
    AllClaims claims;
    DeliveryContext context{client, timers, targets, cancels, claims, {}, {}, {}};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(SendThatWasResetIsNotSentAgainForIt, Fixture)
{
    // A clinic gets one alert twice. The link to the engine went silent, a resume beside it was
    // still connecting when the link broke, and then did not connect: as the last stream left,
    // it was taken for a send of which no byte had gone.
    const auto run = startAlert(LongerThanConnecting);
    BOOST_REQUIRE(waitFor([this] { return context.counters.resumes > 0; }));
    engine.reset();
    checkOutcomeUnknown(*run);
}

BOOST_FIXTURE_TEST_CASE(TargetBehindAPartitionIsGivenUp, Fixture)
{
    // A caller waits to its deadline for an engine that a partition has taken away: the stream
    // stays open and silent, and no resume connects or fails.
    const auto run = startAlert(ShortSilence);
    checkOutcomeUnknown(*run);
}
