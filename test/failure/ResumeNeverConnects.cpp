// Tests that a resume that never connects does not change what is known about the send before it.
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

constexpr Milliseconds PastConnectTimeout{1500};
constexpr Milliseconds ShortStallLimit{200};

/// A listening socket that queues one connection and no more, so that further connections are
/// neither established nor refused.
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
    /// Occupies the one place in the queue.
    void fill()
    {
        m_filler = ::socket(AF_INET, SOCK_STREAM, 0);
        const auto *address = reinterpret_cast<const sockaddr *>(&m_address);
        BOOST_REQUIRE(::connect(m_filler, address, sizeof(m_address)) == 0);
    }
    /// Resets the accepted connection.
    void reset()
    {
        const linger abortOnClose{1, 0};
        ::setsockopt(m_accepted, SOL_SOCKET, SO_LINGER, &abortOnClose, sizeof(abortOnClose));
        ::close(m_accepted);
        m_accepted = -1;
    }

private:
    int m_listener;
    int m_accepted = -1;
    int m_filler = -1;
    sockaddr_in m_address{};
};

/// Assigns one target and counts the acquisitions.
class SingleTargetSource final : public TargetSource
{
public:
    explicit SingleTargetSource(quint16 port)
        : m_port(port)
    {
    }
    void acquire(const TargetDemand &, Callback callback) override
    {
        ++acquisitions;
        callback(TargetAssignment{TargetId(QStringLiteral("engine")),
                                  {QStringLiteral("127.0.0.1"), m_port},
                                  Incarnation(1)});
    }
    void withdraw(const RequestId &) override { }
    void tokenReceived(const AttemptId &) override { }
    void attemptEnded(const AttemptId &, const TargetId &, AttemptOutcome) override { }
    void requestEnded(const RequestId &) override { }
    bool takeRetry(const WorkspaceId &, const TargetId &) override { return true; }

    int acquisitions = 0;

private:
    const quint16 m_port;
};

class AlwaysWonClaims final : public ClaimService
{
public:
    void claim(const QByteArray &, const QByteArray &, const AttemptId &,
               Callback callback) override
    {
        callback(ClaimDecision());
    }
    void release(const QByteArray &, const AttemptId &) override { ++releases; }

    int releases = 0;
};

struct Fixture {
    Fixture() { ensureApplication(); }

    /// Sends a request that must run at most once, which the engine accepts, and blocks every
    /// further connection to it.
    std::shared_ptr<GenerationRun> startAtMostOnceRun(Milliseconds stallLimit)
    {
        context.stallLimits = {Milliseconds(100), stallLimit};
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
        BOOST_REQUIRE(waitFor([&] { return run.hasEnded() || targets.acquisitions > 1; }));
        BOOST_TEST(targets.acquisitions == 1);
        BOOST_REQUIRE(run.failure().has_value());
        BOOST_CHECK(run.failure()->kind == ErrorKind::TargetFailed);
        BOOST_CHECK(run.failure()->ran == Ran::Maybe);
        BOOST_TEST(claims.releases == 0);
    }

    QtTimerService timers;
    HttpClient client{timers};
    FullListener engine;
    SingleTargetSource targets{engine.port()};
    TargetCancels cancels{client};
    AlwaysWonClaims claims;
    DeliveryContext context{client, timers, targets, cancels, claims, {}, {}, {}};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(SendThatWasResetIsNotSentAgainForIt, Fixture)
{
    // Guards against a request that is executed twice: the link to the engine goes silent, a resume
    // beside it is still connecting when the link breaks, and then does not connect. As it was the
    // last stream to end, it was taken for a send of which no byte had left.
    const auto run = startAtMostOnceRun(PastConnectTimeout);
    BOOST_REQUIRE(waitFor([this] { return context.counters.resumes > 0; }));
    engine.reset();
    checkOutcomeUnknown(*run);
}

BOOST_FIXTURE_TEST_CASE(TargetBehindAPartitionIsGivenUp, Fixture)
{
    // Guards against a caller that waits until its deadline for an engine behind a partition: the
    // stream stays open and silent, and no resume connects or fails.
    const auto run = startAtMostOnceRun(ShortStallLimit);
    checkOutcomeUnknown(*run);
}
