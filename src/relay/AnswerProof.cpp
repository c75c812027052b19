#include "relay/AnswerProof.h"

#include "http/ResponseMatch.h"
#include "relay/AnswerHead.h"

namespace cranberry {

AnswerProof proofOf(const AnswerHead &head, ResponseMatch match, bool isFirstResponse)
{
    // Bytes that belong to no request may follow a complete answer.
    const bool isOwn = match == ResponseMatch::Own && (head.namesRequest || isFirstResponse);
    // The seal is that of a request that ran, so that a sealed rejection contradicts itself.
    if (!isOwn || head.isSealed || isSuccess(head))
        return AnswerProof::None;
    if (head.isMisdirected)
        return AnswerProof::Misdirected;
    return head.isNotExecuted ? AnswerProof::NotExecuted : AnswerProof::None;
}

} // namespace cranberry
