// Defines PlannedRequest, one request of a load before it is sent.
#pragma once

#include "base/Units.h"

#include <QByteArray>
#include <QString>

namespace cranberry::load {

enum class RequestKind {
    Completion,
    Chat,
    Plain,
};

struct PlannedRequest {
    /// When it is sent, counted from the start of the load.
    Milliseconds at{0};
    RequestKind kind = RequestKind::Completion;
    int workspace = 0;
    /// Unlike that of any other request of the same seed; the body of a plain call.
    QString prompt;
    int maxTokens = 0;
    bool atMostOnce = false;
    Milliseconds deadline{0};
    /// Random number by which the balancer chooses the entry VM.
    quint64 entry = 0;
};

/// The prompt as the engine sees it: a chat prompt reaches it as the text of its one message.
inline QString promptSeen(const PlannedRequest &request)
{
    return request.kind == RequestKind::Chat ? QStringLiteral("user: %1\n").arg(request.prompt)
                                             : request.prompt;
}

} // namespace cranberry::load
