#include "relay/AnswerProof.h"

#include "http/ResponseMatch.h"
#include "relay/AnswerHead.h"

namespace cranberry {

AnswerProof proofOf(const AnswerHead &head, ResponseMatch match, bool isFirstResponse)
{
    // Bytes that belong to no request may follow a complete answer.
    const bool isOwn = match == ResponseMatch::Own && (head.namesRequest || isFirstResponse);
    if (!isOwn || isSuccess(head))
        return AnswerProof::None;
    if (head.isMisdirected)
        return AnswerProof::Misdirected;
    return head.isNotExecuted ? AnswerProof::NotExecuted : AnswerProof::None;
}

} // namespace cranberry
