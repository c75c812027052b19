#pragma once

#include "http/HttpHeaders.h"

namespace cranberry {

/// A complete response.
struct HttpResponse {
    int status = 200;
    HttpHeaders headers;
    QByteArray body;
};

/// Creates a response with a JSON body. Thread-safe.
inline HttpResponse jsonResponse(int status, const QByteArray &body)
{
    return {status, {{"Content-Type", "application/json"}}, body};
}

} // namespace cranberry
