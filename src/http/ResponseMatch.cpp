#include "http/ResponseMatch.h"

namespace cranberry {

ResponseMatch matchResponse(const QByteArray &sent, const QByteArray &received,
                            const ConnectionHistory &history)
{
    if (!received.isEmpty()) {
        // On a new connection, a response to a request without an id can be no other's.
        const bool isOwn = received == sent || (sent.isEmpty() && history.isNew);
        return isOwn ? ResponseMatch::Own : ResponseMatch::Foreign;
    }
    // Second responses bear the id that the first one bore.
    return !sent.isEmpty() && history.hadUnnamed ? ResponseMatch::Uncertain : ResponseMatch::Own;
}

} // namespace cranberry
