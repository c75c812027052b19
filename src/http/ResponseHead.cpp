#include "http/ResponseHead.h"

#include "http/HttpHeaders.h"
#include "http/TransferCoding.h"

namespace cranberry {

namespace {

constexpr int MinStatus = 100;
constexpr int StatusSwitchingProtocols = 101;
constexpr int MinFinalStatus = 200;
constexpr int MaxStatus = 599;

/// The parser joins a line that begins with whitespace to the field before it. Such a line may
/// contain a field that another reader sees, such as the length of the body.
bool hasFoldedLine(const QByteArray &text)
{
    const qsizetype end = text.indexOf("\r\n\r\n");
    for (const char *start : {"\r\n ", "\r\n\t"}) {
        const qsizetype position = text.indexOf(start);
        if (position >= 0 && (end < 0 || position < end))
            return true;
    }
    return false;
}

} // namespace

const char *responseHeadFault(const ResponseHead &head)
{
    if (head.status < MinStatus || head.status > MaxStatus)
        return "the status is not valid";
    // The client asks for no other protocol.
    if (head.status == StatusSwitchingProtocols)
        return "the response switches to another protocol";
    if (hasFoldedLine(head.text))
        return "a line of the header begins with whitespace";
    if (hasOtherTransferCoding(head.headers))
        return "the transfer coding is unknown";
    return nullptr;
}

bool isInterimStatus(int status)
{
    return status >= MinStatus && status < MinFinalStatus;
}

} // namespace cranberry
