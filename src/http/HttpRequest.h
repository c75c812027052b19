// Defines HttpRequest, one request as the server received it or the client sends it.
#pragma once

#include "http/HttpHeaders.h"

#include <QUrlQuery>

namespace cranberry {

struct HttpRequest {
    QByteArray method;
    /// Path without the query, as it was encoded.
    QByteArray path;
    QUrlQuery query;
    HttpHeaders headers;
    QByteArray body;
};

} // namespace cranberry
