#pragma once

#include <QString>

#include <optional>

namespace cranberry {

/// The IP address and port of an HTTP server without TLS.
struct HttpEndpoint {
    QString address;
    quint16 port = 0;

    friend bool operator==(const HttpEndpoint &a, const HttpEndpoint &b)
    {
        return a.address == b.address && a.port == b.port;
    }
};

/// Parses "http://ADDRESS:PORT"; nullopt if @p url has any other format. Thread-safe.
std::optional<HttpEndpoint> parseEndpoint(const QString &url);

} // namespace cranberry
