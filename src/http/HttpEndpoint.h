// Defines HttpEndpoint, where an HTTP server is reached.
#pragma once

#include <QString>

#include <optional>

namespace cranberry {

/// An address by IP number and a port, without TLS.
struct HttpEndpoint {
    QString address;
    quint16 port = 0;

    friend bool operator==(const HttpEndpoint &a, const HttpEndpoint &b)
    {
        return a.address == b.address && a.port == b.port;
    }
};

/// Reads "http://ADDRESS:PORT"; nothing if @p url is of another shape. Thread-safe.
std::optional<HttpEndpoint> parseEndpoint(const QString &url);

} // namespace cranberry
