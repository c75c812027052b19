// Which connections a listener closes, and when.
#define BOOST_TEST_MODULE ConnectionClosing
#include <boost/test/unit_test.hpp>

#include "http/CallerLimits.h"
#include "http/ConnectionClosing.h"
#include "http/ListenerLimits.h"

using namespace cranberry;

namespace {

constexpr std::array Stages{ListenerStage::Serving, ListenerStage::Closing, ListenerStage::Ending};

ConnectionAction action(ConnectionState state, ListenerStage stage, Milliseconds idle,
                        bool areHeadersPending = false, bool hasUnsentBytes = false)
{
    return connectionAction({state, idle, areHeadersPending, hasUnsentBytes}, stage, CallerLimits(),
                            ListenerLimits());
}

} // namespace

// Guards against a new connection that is closed while its first request is on its way.
BOOST_AUTO_TEST_CASE(NewConnectionsHaveTimeForTheirFirstRequest)
{
    for (const ListenerStage stage : Stages) {
        BOOST_TEST((action(ConnectionState::AwaitingFirst, stage, Milliseconds(0))
                    == ConnectionAction::Keep));
        BOOST_TEST((action(ConnectionState::AwaitingFirst, stage, Milliseconds(1000))
                    == ConnectionAction::Keep));
        BOOST_TEST((action(ConnectionState::AwaitingFirst, stage, Milliseconds(20000))
                    == ConnectionAction::CloseUnread));
    }
    BOOST_TEST((action(ConnectionState::AwaitingFirst, ListenerStage::Serving, Milliseconds(1001))
                == ConnectionAction::Keep));
    BOOST_TEST((action(ConnectionState::AwaitingFirst, ListenerStage::Closing, Milliseconds(1001))
                == ConnectionAction::CloseUnread));
}

BOOST_AUTO_TEST_CASE(KeptConnectionsAreClosedUnread)
{
    BOOST_TEST((action(ConnectionState::AwaitingNext, ListenerStage::Serving, Milliseconds(15000))
                == ConnectionAction::Keep));
    BOOST_TEST((action(ConnectionState::AwaitingNext, ListenerStage::Serving, Milliseconds(15001))
                == ConnectionAction::CloseUnread));
    for (const ListenerStage stage : {ListenerStage::Closing, ListenerStage::Ending})
        BOOST_TEST((action(ConnectionState::AwaitingNext, stage, Milliseconds(0))
                    == ConnectionAction::CloseUnread));
}

// Guards against a connection that is reset while its caller still reads the response.
BOOST_AUTO_TEST_CASE(UnsentResponsesKeepTheirConnections)
{
    for (const ListenerStage stage : Stages) {
        for (const ConnectionState state :
             {ConnectionState::AwaitingNext, ConnectionState::Lingering})
            BOOST_TEST((action(state, stage, Milliseconds(100000), false, true)
                        == ConnectionAction::Keep));
    }
}

// Guards against a request of which a part has arrived that is dropped without an answer.
BOOST_AUTO_TEST_CASE(RequestsInPartsAreAnswered)
{
    for (const bool areHeadersPending : {true, false}) {
        const Milliseconds limit =
            areHeadersPending ? CallerLimits().headerTimeout : CallerLimits().idleTimeout;
        for (const ListenerStage stage : {ListenerStage::Serving, ListenerStage::Closing}) {
            BOOST_TEST((action(ConnectionState::Receiving, stage, limit, areHeadersPending)
                        == ConnectionAction::Keep));
            BOOST_TEST((action(ConnectionState::Receiving, stage, limit + Milliseconds(1),
                               areHeadersPending)
                        == ConnectionAction::RejectSlow));
        }
        BOOST_TEST((action(ConnectionState::Receiving, ListenerStage::Ending, Milliseconds(0),
                           areHeadersPending)
                    == ConnectionAction::RejectEnding));
    }
}

BOOST_AUTO_TEST_CASE(ResponsesAreNotClosed)
{
    for (const ListenerStage stage : Stages) {
        for (const ConnectionState state :
             {ConnectionState::Answering, ConnectionState::Streaming, ConnectionState::Ended})
            BOOST_TEST((action(state, stage, Milliseconds(100000)) == ConnectionAction::Keep));
        BOOST_TEST((action(ConnectionState::Lingering, stage, Milliseconds(1000))
                    == ConnectionAction::Keep));
        BOOST_TEST((action(ConnectionState::Lingering, stage, Milliseconds(1001))
                    == ConnectionAction::Close));
        BOOST_TEST((action(ConnectionState::Lingering, stage, Milliseconds(1001), false, true)
                    == ConnectionAction::Keep));
    }
}

// Guards against a process that ends beside a request that has begun to arrive.
BOOST_AUTO_TEST_CASE(BusyConnectionsKeepTheProcess)
{
    for (const ListenerStage stage : Stages) {
        for (const ConnectionState state :
             {ConnectionState::AwaitingFirst, ConnectionState::Receiving,
              ConnectionState::Answering, ConnectionState::Streaming, ConnectionState::Lingering})
            BOOST_TEST(isConnectionBusy({state, Milliseconds(0), false, false}, stage));
        BOOST_TEST(
            !isConnectionBusy({ConnectionState::Ended, Milliseconds(0), false, false}, stage));
    }
    const ConnectionStatus kept{ConnectionState::AwaitingNext, Milliseconds(0), false, false};
    BOOST_TEST(!isConnectionBusy(kept, ListenerStage::Serving));
    BOOST_TEST(isConnectionBusy(kept, ListenerStage::Closing));
    BOOST_TEST(isConnectionBusy(kept, ListenerStage::Ending));
}

// Guards against requests that arrive byte by byte, and responses that are read so, without end.
BOOST_AUTO_TEST_CASE(SlowRequestsAndResponsesHaveAnEnd)
{
    const ListenerLimits limits;
    const auto actionFor = [&](const ConnectionStatus &status) {
        return connectionAction(status, ListenerStage::Serving, CallerLimits(), limits);
    };
    ConnectionStatus receiving{ConnectionState::Receiving};
    receiving.receiving = limits.requestTimeout;
    BOOST_TEST((actionFor(receiving) == ConnectionAction::Keep));
    receiving.receiving += Milliseconds(1);
    BOOST_TEST((actionFor(receiving) == ConnectionAction::RejectSlow));
    for (const ConnectionState state :
         {ConnectionState::AwaitingNext, ConnectionState::Receiving, ConnectionState::Lingering}) {
        ConnectionStatus sending{state};
        sending.hasUnsentBytes = true;
        sending.sending = limits.responseTimeout;
        BOOST_TEST((actionFor(sending) == ConnectionAction::Keep));
        sending.sending += Milliseconds(1);
        BOOST_TEST((actionFor(sending) == ConnectionAction::Close));
    }
}
