// Defines HttpResponse, a whole answer.
#pragma once

#include "http/HttpHeaders.h"

namespace cranberry {

struct HttpResponse {
    int status = 200;
    HttpHeaders headers;
    QByteArray body;
};

/// An answer with a JSON body. Thread-safe.
inline HttpResponse jsonResponse(int status, const QByteArray &body)
{
    return {status, {{"Content-Type", "application/json"}}, body};
}

} // namespace cranberry
