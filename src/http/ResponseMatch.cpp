#include "http/ResponseMatch.h"

namespace cranberry {

ResponseMatch matchResponse(const QByteArray &sent, const QByteArray &received,
                            const ConnectionHistory &history)
{
    if (!received.isEmpty()) {
        const bool isOwn = received == sent || (sent.isEmpty() && history.isFirst);
        return isOwn ? ResponseMatch::Own : ResponseMatch::Foreign;
    }
    // Nothing precedes the first response, so that it can be no other's.
    if (sent.isEmpty() || history.isFirst)
        return ResponseMatch::Own;
    return history.hadNamed ? ResponseMatch::Foreign : ResponseMatch::Uncertain;
}

} // namespace cranberry
