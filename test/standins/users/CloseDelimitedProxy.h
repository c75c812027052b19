// Defines CloseDelimitedProxy, which makes a stand-in's streams end with their connection.
#pragma once

#include "base/Units.h"
#include "http/HttpEndpoint.h"

#include <QByteArray>
#include <QTcpServer>

#include <memory>

class QTcpSocket;

namespace cranberry::standin {

/// Forwards connections to a target. Removes the chunks of its streams, so that a stream has
/// neither a length nor chunks. Closes the connection in order when the stream ends, and also when
/// the target breaks it off.
/// Thread safety: only from the thread of its event loop.
class CloseDelimitedProxy
{
public:
    explicit CloseDelimitedProxy(const HttpEndpoint &target);
    ~CloseDelimitedProxy();

    HttpEndpoint endpoint() const { return m_endpoint; }
    /// Bytes sent before the close of a stream that the target breaks off, the beginning of an
    /// event.
    void setTornBytes(const QByteArray &bytes) { m_tornBytes = bytes; }
    /// Closes the listening socket, as the end of a process does, or opens it again.
    void setListening(bool listening);
    void stopListeningFor(Milliseconds time);

private:
    struct Link;

    void accept();
    void forwardAnswer(const std::shared_ptr<Link> &link);
    void forwardChunks(const std::shared_ptr<Link> &link);
    void targetClosed(const std::shared_ptr<Link> &link);

    HttpEndpoint m_target;
    HttpEndpoint m_endpoint;
    QByteArray m_tornBytes;
    QTcpServer m_server;
};

} // namespace cranberry::standin
