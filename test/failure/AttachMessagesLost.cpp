// Tests a follower of another daemon's run when messages are lost or duplicated, or come from a VM
// that does not hold the key.
#define BOOST_TEST_MODULE AttachMessagesLost
#include <boost/test/unit_test.hpp>

#include "base/TimerSubscription.h"
#include "delivery/AnswerSink.h"
#include "delivery/AttachClient.h"
#include "delivery/AttachMessages.h"
#include "delivery/ClaimService.h"
#include "delivery/GenerationRequest.h"
#include "delivery/TokenEvent.h"
#include "peer/PeerNetwork.h"
#include "support/ManualTimers.h"

using namespace cranberry;
using namespace cranberry::test;

namespace {

using State = AttachDataMessage::State;

constexpr Milliseconds PastRequestTimeout{750};
const VmId Holder(QStringLiteral("vm0"));

/// Records the requests; the test answers in the holder's place.
class ScriptedPeers final : public PeerNetwork
{
public:
    bool send(const VmId &vm, PeerMessageKind, const QCborMap &body) override
    {
        BOOST_TEST(vm.text().toStdString() == Holder.text().toStdString());
        const auto message = attachRequestFrom(body);
        BOOST_REQUIRE(message.has_value());
        (message->done ? done : requests).append(*message);
        return true;
    }
    void subscribe(PeerMessageKind, Handler handler) override { m_handler = std::move(handler); }
    void answer(const VmId &from, const AttachDataMessage &message)
    {
        m_handler(from, toCbor(message));
    }

    QList<AttachRequestMessage> requests;
    QList<AttachRequestMessage> done;

private:
    Handler m_handler;
};

class RecordingSink final : public AnswerSink
{
public:
    void deliver(const TokenEvent &event) override { indexes.push_back(event.index); }
    void finished() override { isWhole = true; }
    void failed(const Error &error) override { failure = error; }

    std::vector<qint64> indexes;
    bool isWhole = false;
    std::optional<Error> failure;
};

QByteArray eventData(bool last)
{
    return QByteArray(R"({"id":"a","choices":[{"index":0,"text":"t","finish_reason":)")
        + (last ? "\"stop\"" : "null") + "}]}";
}

struct Fixture {
    Fixture()
    {
        request.id = RequestId(QStringLiteral("second"));
        request.claimKey = "key";
        request.deadline = timers.now() + std::chrono::hours(1);
        ClaimDecision heldClaim;
        heldClaim.kind = ClaimDecision::Kind::Held;
        heldClaim.holder = Holder;
        heldClaim.holderAttempt = AttemptId(QStringLiteral("claimed"));
        attachClient.follow(heldClaim, request, sink);
        BOOST_REQUIRE(peers.requests.size() == 1);
    }

    AttachDataMessage data(qint64 from, qint64 until, State state) const
    {
        AttachDataMessage message;
        message.session = request.id;
        message.from = from;
        message.state = state;
        for (qint64 i = from; i < until; ++i)
            message.events.append({i, eventData(state == State::Complete && i + 1 == until)});
        return message;
    }

    ManualTimers timers;
    ScriptedPeers peers;
    AttachClient attachClient{peers, timers};
    GenerationRequest request;
    std::shared_ptr<RecordingSink> sink = std::make_shared<RecordingSink>();
};

const std::vector<qint64> FirstFour{0, 1, 2, 3};

} // namespace

BOOST_FIXTURE_TEST_CASE(DoubledAnswersAreTakenOnce, Fixture)
{
    // Guards against duplicated events and ever more frequent requests between two daemons: a
    // request was repeated because its answer came late, and both answers were processed.
    timers.advance(PastRequestTimeout);
    BOOST_TEST(peers.requests.size() == 2);
    peers.answer(Holder, data(0, 2, State::Running));
    peers.answer(Holder, data(0, 2, State::Running));
    BOOST_TEST(peers.requests.size() == 3);
    BOOST_TEST(peers.requests.last().from == 2);
    peers.answer(Holder, data(2, 4, State::Complete));
    BOOST_TEST(sink->isWhole);
    BOOST_TEST(sink->indexes == FirstFour, boost::test_tools::per_element());
    BOOST_TEST(peers.done.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(LostAnswerIsAskedForAgain, Fixture)
{
    peers.answer(Holder, data(0, 2, State::Running));
    timers.advance(PastRequestTimeout);
    BOOST_REQUIRE(peers.requests.size() == 3);
    BOOST_TEST(peers.requests.last().from == 2);
    peers.answer(Holder, data(2, 4, State::Complete));
    BOOST_TEST(sink->isWhole);
    BOOST_TEST(sink->indexes == FirstFour, boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(HolderThatNeverAnswersLeavesTheOutcomeUnknown, Fixture)
{
    // Guards against a false "not run", after which the caller would send a request again that may
    // already have run.
    for (int i = 0; i < 3; ++i)
        timers.advance(PastRequestTimeout);
    BOOST_REQUIRE(sink->failure.has_value());
    BOOST_CHECK(sink->failure->kind == ErrorKind::OutcomeUnknown);
    BOOST_CHECK(sink->failure->ran == Ran::Maybe);
    BOOST_TEST(attachClient.running() == 0);
}

BOOST_FIXTURE_TEST_CASE(HolderThatWasStartedAnewKnowsNothing, Fixture)
{
    peers.answer(Holder, data(0, 0, State::Unknown));
    BOOST_REQUIRE(sink->failure.has_value());
    BOOST_CHECK(sink->failure->kind == ErrorKind::OutcomeUnknown);
    BOOST_CHECK(sink->failure->ran == Ran::Maybe);
}

BOOST_FIXTURE_TEST_CASE(FailureOfTheRunIsTheAnswer, Fixture)
{
    AttachDataMessage message = data(0, 2, State::Failed);
    message.error = Error{ErrorKind::GenerationLost, Ran::Yes, QStringLiteral("gone"), {}, {}};
    peers.answer(Holder, message);
    BOOST_REQUIRE(sink->failure.has_value());
    BOOST_CHECK(sink->failure->kind == ErrorKind::GenerationLost);
    BOOST_CHECK(sink->failure->ran == Ran::Yes);
    BOOST_TEST(sink->indexes.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(EventsThatAreNotNextAreNeverDelivered, Fixture)
{
    // A gap, or an answer from a VM that does not hold the key, must not reach the caller.
    peers.answer(VmId(QStringLiteral("vm2")), data(0, 2, State::Running));
    BOOST_TEST(sink->indexes.empty());
    AttachDataMessage gap = data(1, 3, State::Running);
    gap.from = 0;
    peers.answer(Holder, gap);
    BOOST_TEST(sink->indexes.empty());
    BOOST_REQUIRE(sink->failure.has_value());
    BOOST_CHECK(sink->failure->ran == Ran::Maybe);
}

BOOST_AUTO_TEST_CASE(MalformedMessagesAreDropped)
{
    BOOST_TEST(!attachRequestFrom({}).has_value());
    BOOST_TEST(!attachDataFrom({}).has_value());
    AttachDataMessage message;
    message.session = RequestId(QStringLiteral("s"));
    message.state = State::Failed; // without an error
    BOOST_TEST(!attachDataFrom(toCbor(message)).has_value());
    message.state = State::Running;
    BOOST_TEST(attachDataFrom(toCbor(message)).has_value());
    message.from = -1;
    BOOST_TEST(!attachDataFrom(toCbor(message)).has_value());
}
