// Defines HttpConnectionPool, the idle connections of an HTTP client.
#pragma once

#include "http/HttpEndpoint.h"

#include <QHash>
#include <QList>
#include <QPointer>

class QTcpSocket;

namespace cranberry {

/// Keeps connections that may serve a further exchange, a bounded number for each endpoint.
/// Thread safety: only from its own thread.
class HttpConnectionPool
{
public:
    HttpConnectionPool() = default;
    ~HttpConnectionPool();
    HttpConnectionPool(const HttpConnectionPool &) = delete;
    HttpConnectionPool &operator=(const HttpConnectionPool &) = delete;

    /// An open idle connection to @p endpoint, which the caller then owns; null if none is.
    QTcpSocket *take(const HttpEndpoint &endpoint);

    /// Takes over @p socket. Precondition: its last answer was read whole.
    void give(const HttpEndpoint &endpoint, QTcpSocket *socket);

private:
    QHash<QString, QList<QPointer<QTcpSocket>>> m_idle;
};

} // namespace cranberry
