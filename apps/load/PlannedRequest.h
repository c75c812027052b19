#pragma once

#include "base/Units.h"

#include <QByteArray>
#include <QString>

namespace cranberry::load {

/// The API that a request uses.
enum class RequestKind {
    Completion,
    Chat,
    Plain,
};

/// A request of a load before it is sent.
struct PlannedRequest {
    /// Send time relative to the start of the load.
    Milliseconds sendOffset{0};
    RequestKind kind = RequestKind::Completion;
    int workspace = 0;
    /// Unique among the requests of one seed. For a plain call, this is the body.
    QString prompt;
    int maxTokens = 0;
    bool atMostOnce = false;
    /// Zero for no deadline.
    Milliseconds deadline{0};
    /// Random number that selects the entry VM.
    quint64 gatewayDraw = 0;
};

/// Returns the prompt as the engine receives it: the single message of a chat is formatted with its
/// role. Thread-safe.
inline QString enginePrompt(const PlannedRequest &request)
{
    return request.kind == RequestKind::Chat ? QStringLiteral("user: %1\n").arg(request.prompt)
                                             : request.prompt;
}

} // namespace cranberry::load
