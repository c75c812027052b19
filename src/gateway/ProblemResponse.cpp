#include "gateway/ProblemResponse.h"

#include "base/Error.h"

namespace cranberry {

HttpResponse problemResponse(const Error &error)
{
    HttpResponse response;
    response.status = errorAnswer(error.kind).httpStatus;
    response.headers.add("Content-Type", "application/problem+json");
    response.headers.add("Cranberry-Ran", ranName(error.ran));
    if (const std::optional<int> seconds = retryAfter(error))
        response.headers.add("Retry-After", QByteArray::number(*seconds));
    response.body = problemJson(error);
    return response;
}

} // namespace cranberry
