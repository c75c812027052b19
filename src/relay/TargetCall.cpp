#include "relay/TargetCall.h"

namespace cranberry {

const char *callPurposeName(CallPurpose purpose)
{
    switch (purpose) {
    case CallPurpose::Request:
        return "request";
    case CallPurpose::Continuation:
        return "continuation";
    case CallPurpose::Reservation:
        return "reservation";
    case CallPurpose::Release:
        return "release";
    case CallPurpose::Move:
        return "move";
    case CallPurpose::Report:
        return "report";
    case CallPurpose::ReachProbe:
        return "reach_probe";
    case CallPurpose::CrashProbe:
        return "crash_probe";
    }
    return "unknown";
}

} // namespace cranberry
