#include "http/EndpointCheck.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "http/TcpStream.h"

namespace cranberry {

EndpointCheck::EndpointCheck(TimerService &timers, const HttpEndpoint &endpoint,
                             Milliseconds timeout, Done done)
    : m_done(std::move(done))
    , m_stream(TcpStream::connectTo(endpoint))
{
    TcpStreamCallbacks callbacks;
    callbacks.connected = [this] { finish(true); };
    callbacks.ended = [this](TcpEnd) { finish(false); };
    m_stream->setCallbacks(std::move(callbacks));
    m_timeout = timers.after(timeout, [this] { finish(false); });
}

EndpointCheck::~EndpointCheck() = default;

void EndpointCheck::finish(bool isAccepting)
{
    m_timeout.reset();
    m_stream->setCallbacks({});
    // Without it, the stream would reset the connection.
    m_stream->shutDownSending();
    const auto done = std::move(m_done);
    done(isAccepting);
}

} // namespace cranberry
