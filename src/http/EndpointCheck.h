#pragma once

#include "base/Units.h"

#include <functional>
#include <memory>

namespace cranberry {

class TcpStream;
class TimerService;
class TimerSubscription;
struct HttpEndpoint;

/// Checks whether an endpoint accepts connections. The listening socket of a process is closed when
/// the process ends. Sends no data and closes the connection in order. Destroying it cancels the
/// check. Thread safety: only from the thread of the event loop.
class EndpointCheck
{
public:
    /// Called once; may destroy the check.
    using Done = std::function<void(bool isAccepting)>;

    /// An endpoint that neither accepts nor refuses within @p timeout counts as not accepting.
    /// Precondition: @p timers outlives the check.
    EndpointCheck(TimerService &timers, const HttpEndpoint &endpoint, Milliseconds timeout,
                  Done done);
    ~EndpointCheck();
    EndpointCheck(const EndpointCheck &) = delete;
    EndpointCheck &operator=(const EndpointCheck &) = delete;

private:
    void finish(bool isAccepting);

    Done m_done;
    std::unique_ptr<TcpStream> m_stream;
    std::unique_ptr<TimerSubscription> m_timeout;
};

} // namespace cranberry
