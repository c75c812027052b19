// Defines HttpListener, which accepts callers' connections and hands over their requests.
#pragma once

#include "base/Result.h"
#include "http/CallerConnection.h"
#include "http/CallerLimits.h"
#include "http/HttpEndpoint.h"

#include <QHash>

#include <functional>
#include <memory>

class QSocketNotifier;

namespace cranberry {

class TimerSubscription;

/// An HTTP/1.1 listener for requests whose bodies are forwarded unread. Qt's server hides the end
/// of a caller's connection and answers only after its own parsing; docs/design/0001 weighs both.
/// Thread safety: only from its own thread; handlers run in it.
class HttpListener
{
public:
    using Handler =
        std::function<void(const HttpRequest &request, const std::shared_ptr<CallerReply> &reply)>;
    using Rejection = std::function<HttpResponse(ErrorKind kind)>;

    /// Precondition: @p timers outlives the listener.
    HttpListener(TimerService &timers, Handler handler, Rejection rejection);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    /// Starts to listen; port 0 takes a free one. Returns the port.
    /// Precondition: not listening. Error: BadRequest with the system's reason.
    Result<quint16> listenOn(const HttpEndpoint &endpoint);
    /// Replaces the handler given first.
    void setHandler(Handler handler) { m_context.handler = std::move(handler); }
    /// Holds for requests that begin from now on.
    void setLimits(const CallerLimits &limits) { m_limits = limits; }
    /// Answers from now on end their connection.
    void closeAfterAnswers() { m_closing = true; }
    /// Closes connections without a request; answers end theirs.
    void closeIdle();
    /// Accepts no further connections; open ones stay.
    void stopAccepting();

    int openConnections() const { return int(m_connections.size()); }
    /// Connections with a request that is not answered yet, or with unsent bytes.
    int busyConnections() const;

private:
    void accept();

    TimerService &m_timers;
    CallerLimits m_limits;
    bool m_closing = false;
    int m_descriptor = -1;
    QSocketNotifier *m_notifier = nullptr;
    CallerConnectionContext m_context;
    QHash<CallerConnection *, std::shared_ptr<CallerConnection>> m_connections;
    std::unique_ptr<TimerSubscription> m_sweep;
};

} // namespace cranberry
