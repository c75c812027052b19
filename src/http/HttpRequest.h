#pragma once

#include "http/HttpHeaders.h"

#include <QUrlQuery>

namespace cranberry {

/// A request as the server received it or as the client sends it.
struct HttpRequest {
    QByteArray method;
    /// Percent-encoded path without the query.
    QByteArray path;
    QUrlQuery query;
    HttpHeaders headers;
    QByteArray body;
};

} // namespace cranberry
