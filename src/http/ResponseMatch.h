#pragma once

#include <QByteArray>

namespace cranberry {

/// What the id in a response says about the request that it answers.
enum class ResponseMatch {
    /// It is the response to the request that was sent last.
    Own,
    /// It is a late or second response to an earlier request, or bytes that belong to none.
    Foreign,
    /// It bears no id, and nothing on the connection tells whether the peer names its responses.
    Uncertain,
};

/// What was on a connection before a response.
struct ConnectionHistory {
    /// It is the first response, and to the first request.
    bool isFirst = true;
    /// An earlier response bore an id.
    bool hadNamed = false;
};

/// Judges the response that arrives after a request. @p sent: the id of the request, empty for
/// requests without one; @p received: that of the response, empty if it has none.
/// Precondition: no other request with the id @p sent was sent on the connection; see
/// HttpConnectionPool::take().
/// Thread-safe.
ResponseMatch matchResponse(const QByteArray &sent, const QByteArray &received,
                            const ConnectionHistory &history);

} // namespace cranberry
