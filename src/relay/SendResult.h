#pragma once

#include "base/ErrorKind.h"
#include "http/BodyFraming.h"
#include "http/ConnectionUse.h"
#include "relay/AnswerEnd.h"
#include "relay/AnswerHead.h"

#include <QByteArray>
#include <QString>

namespace cranberry {

/// The first status of failures of a target.
constexpr int FirstServerFailure = 500;

/// The result of one attempt at a target.
struct SendResult {
    enum class Kind {
        /// A complete answer from the target.
        Answered,
        /// No byte of the request was sent.
        NotConnected,
        /// The target says that it did not run the request.
        NotExecuted,
        /// The address belongs to another target, which did not run the request.
        Misdirected,
        /// Nothing was sent, as the target takes no such request now; see TargetAvailability.
        Withheld,
        /// The answer is incomplete: the connection broke or timed out after the request was sent,
        /// or a stream ended inside an event.
        Broken,
        /// The response cannot be the answer to the request.
        Invalid,
    };

    Kind kind = Kind::Broken;
    AnswerHead head;
    /// The answer was a stream that was delivered event by event.
    bool isStream = false;
    /// The body of an answer that is not a stream.
    QByteArray body;
    QString reason;
    BodyFraming framing = BodyFraming::Unknown;
    AnswerEnd end = AnswerEnd::Broken;
    /// Unset, with the number 0, if nothing was sent or the answer was too large.
    ConnectionUse connection;
    int skippedResponses = 0;
};

/// Whether the request may have run after an attempt that ended so. Thread-safe.
Ran ranAfter(SendResult::Kind kind);

/// False for a stream that broke off, and for a complete answer that is not a stream: the target at
/// which a generation is resumed may answer with a failure. Thread-safe.
bool isWholeStream(const SendResult &result);

/// @p result if its target was ordered to stop the generation and may have done so. Thread-safe.
SendResult afterStopOrder(SendResult result);

/// The name used in log lines. Thread-safe.
const char *sendResultName(SendResult::Kind kind);

} // namespace cranberry
