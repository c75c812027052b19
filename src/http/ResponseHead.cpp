#include "http/ResponseHead.h"

namespace cranberry {

namespace {

constexpr int MinStatus = 100;
constexpr int MaxStatus = 599;

} // namespace

const char *responseHeadFault(const ResponseHead &head)
{
    if (head.status < MinStatus || head.status > MaxStatus)
        return "the status is not valid";
    return nullptr;
}

} // namespace cranberry
