#pragma once

#include <QByteArray>

namespace cranberry {

/// What the id in a response says about the request that it answers.
enum class ResponseMatch {
    /// It is the response to the request that was sent last.
    Own,
    /// It is a late or second response to an earlier request.
    Foreign,
    /// It bears no id and may be a late or second response without an id.
    Uncertain,
};

/// What was on a connection before a request.
struct ConnectionHistory {
    bool isNew = true;
    /// An earlier response bore no id.
    bool hadUnnamed = false;
};

/// Judges the response that arrives after a request. @p sent: the id of the request, empty for
/// requests without one; @p received: that of the response, empty if it has none.
/// Thread-safe.
ResponseMatch matchResponse(const QByteArray &sent, const QByteArray &received,
                            const ConnectionHistory &history);

} // namespace cranberry
