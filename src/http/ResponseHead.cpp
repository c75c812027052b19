#include "http/ResponseHead.h"

namespace cranberry {

namespace {

constexpr int MinStatus = 100;
constexpr int StatusSwitchingProtocols = 101;
constexpr int MinFinalStatus = 200;
constexpr int MaxStatus = 599;

} // namespace

const char *responseHeadFault(const ResponseHead &head)
{
    if (head.status < MinStatus || head.status > MaxStatus)
        return "the status is not valid";
    // The client asks for no other protocol.
    if (head.status == StatusSwitchingProtocols)
        return "the response switches to another protocol";
    return nullptr;
}

bool isInterimStatus(int status)
{
    return status >= MinStatus && status < MinFinalStatus;
}

} // namespace cranberry
