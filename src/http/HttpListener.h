#pragma once

#include "base/Result.h"
#include "http/CallerConnection.h"
#include "http/CallerLimits.h"
#include "http/CallerMemory.h"
#include "http/ConnectionClosing.h"
#include "http/HttpEndpoint.h"
#include "http/ListenerLimits.h"

#include <QHash>

#include <functional>
#include <memory>

class QSocketNotifier;

namespace cranberry {

class TimerSubscription;

/// An HTTP/1.1 listener that accepts callers' connections and passes on their requests, whose
/// bodies are forwarded without being parsed. Qt's server does not report the end of a caller's
/// connection and responds only after its own parsing; docs/design/0001 compares both.
/// Thread safety: only from its own thread; handlers run in it.
class HttpListener
{
public:
    using Handler =
        std::function<void(const HttpRequest &request, const std::shared_ptr<CallerReply> &reply)>;
    using RejectionFactory = std::function<HttpResponse(ErrorKind kind)>;

    /// Precondition: @p timers outlives the listener.
    HttpListener(TimerService &timers, Handler handler, RejectionFactory makeRejection);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    /// Starts listening and returns the port; port 0 selects a free one.
    /// Precondition: not listening. Error: BadRequest with the system's error message.
    Result<quint16> listenOn(const HttpEndpoint &endpoint);
    /// Replaces the handler that was passed to the constructor.
    void setHandler(Handler handler) { m_context.handler = std::move(handler); }
    /// Applies to each request whose first byte is received from now on.
    void setLimits(const CallerLimits &limits) { m_callerLimits = limits; }
    /// Maximum times from the first byte of a request to its last one, and from the end of a
    /// response until the system has taken all of its bytes.
    void setTimeouts(Milliseconds request, Milliseconds response)
    {
        m_limits.requestTimeout = request;
        m_limits.responseTimeout = response;
    }
    /// Open connections; above it, those without a request in progress are closed for new ones.
    void setMaxConnections(int connections) { m_limits.connections = connections; }
    /// The account of what callers make the process hold, instead of one without a limit.
    /// Precondition: not listening; @p memory outlives the listener.
    void setMemory(CallerMemory &memory) { m_context.memory = &memory; }
    /// Closes each connection after its next response.
    void closeAfterResponses() { m_closing = true; }
    /// Closes idle connections from now on, and the others after their next response.
    void closeIdle();
    /// As closeIdle(); also accepts the connections that wait for it, then no more, and rejects
    /// requests of which only a part has arrived. For a process that is about to end.
    void end();
    /// Stops accepting connections; open ones remain open.
    void stopAccepting();

    bool isAccepting() const { return m_descriptor >= 0; }
    /// Connections that were closed for new ones.
    qint64 replacedConnections() const { return m_replaced; }
    int openConnections() const { return int(m_connections.size()); }
    /// Number of connections for which isConnectionBusy().
    int busyConnections() const;
    ConnectionCounts connectionCounts() const;
    /// Logs the connections whose requests have no whole response, up to a limit; to be called
    /// before the process ends.
    void logUnanswered() const;

private:
    void accept();
    /// Closes connections without a request in progress; false if there are none.
    bool replaceConnections();
    void pauseAccepting();
    void setStage(ListenerStage stage);
    void closeDue();

    TimerService &m_timers;
    CallerLimits m_callerLimits;
    ListenerLimits m_limits;
    bool m_closing = false;
    ListenerStage m_stage = ListenerStage::Serving;
    int m_descriptor = -1;
    QSocketNotifier *m_notifier = nullptr;
    CallerMemory m_unlimited;
    CallerConnectionContext m_context;
    QHash<CallerConnection *, std::shared_ptr<CallerConnection>> m_connections;
    qint64 m_replaced = 0;
    std::unique_ptr<TimerSubscription> m_timeoutTimer;
    /// Set while accepting is paused.
    std::unique_ptr<TimerSubscription> m_acceptTimer;
};

} // namespace cranberry
