// Which connections are closed for new ones.
#define BOOST_TEST_MODULE ConnectionReplacement
#include <boost/test/unit_test.hpp>

#include "http/ConnectionReplacement.h"

using namespace cranberry;

namespace {

ConnectionStatus status(ConnectionState state, int idleMs)
{
    ConnectionStatus status;
    status.state = state;
    status.idle = Milliseconds(idleMs);
    return status;
}

} // namespace

// Guards against requests in progress that are cut off for new connections.
BOOST_AUTO_TEST_CASE(RequestsInProgressStay)
{
    const std::vector<ConnectionStatus> connections{status(ConnectionState::Answering, 90'000),
                                                    status(ConnectionState::Streaming, 90'000)};
    BOOST_TEST(chooseReplaced(connections, 2).empty());
}

BOOST_AUTO_TEST_CASE(ConnectionsOfLeastUseGoFirst)
{
    std::vector<ConnectionStatus> connections{
        status(ConnectionState::Receiving, 50),        status(ConnectionState::AwaitingFirst, 20),
        status(ConnectionState::AwaitingNext, 3'000),  status(ConnectionState::AwaitingNext, 9'000),
        status(ConnectionState::AwaitingFirst, 1'500), status(ConnectionState::Lingering, 10),
        status(ConnectionState::Receiving, 50)};
    connections.back().receiving = Milliseconds(5'000);
    const std::vector<std::size_t> all{5, 4, 3, 2, 6, 1, 0};
    BOOST_TEST(chooseReplaced(connections, 10) == all, boost::test_tools::per_element());
    BOOST_TEST(chooseReplaced(connections, 2).size() == 2U);
}
