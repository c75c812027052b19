#include "admission/AdmissionRefusal.h"

#include "base/EventLog.h"
#include "placement/PlacementRequest.h"

#include <algorithm>
#include <cmath>

namespace cranberry {

namespace {

constexpr int MinRetryAfterSeconds = 1;
constexpr int MaxRetryAfterSeconds = 60;

} // namespace

Error admissionError(ErrorKind kind, const QString &detail)
{
    Error error;
    error.kind = kind;
    error.detail = detail;
    return error;
}

int retryAfterSeconds(Milliseconds wait)
{
    const double seconds = std::chrono::duration<double>(wait).count();
    return std::clamp(int(std::ceil(seconds)), MinRetryAfterSeconds, MaxRetryAfterSeconds);
}

void logRefusal(const PlacementRequest &request, const Error &error)
{
    logEvent(LogLevel::Info, EventId::PlacementRefused,
             {{"request", request.request.text()},
              {"service", request.service.text()},
              {"workspace", request.workspace.text()},
              {"kind", QString::fromLatin1(errorAnswer(error.kind).name)}});
}

} // namespace cranberry
