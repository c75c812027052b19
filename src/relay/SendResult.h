// Defines SendResult, how one send to a target ended.
#pragma once

#include "base/ErrorKind.h"
#include "relay/AnswerHead.h"

#include <QByteArray>
#include <QString>

namespace cranberry {

struct SendResult {
    enum class Kind {
        /// A whole answer of the target.
        Answered,
        /// No byte of the request left.
        NotConnected,
        /// The target says that it did not run the request.
        NotExecuted,
        /// Another target has the address; it did not run the request.
        Misdirected,
        /// The connection broke or fell silent after the request had left.
        Broken,
        /// What came back cannot be the answer.
        Spoilt,
    };

    Kind kind = Kind::Broken;
    AnswerHead head;
    /// The answer was a stream, handed over event by event.
    bool isStream = false;
    /// The body of any other answer.
    QByteArray body;
    QString reason;
};

/// What may be said of a request after a send that ended so. Thread-safe.
Ran ranAfter(SendResult::Kind kind);

/// The name in log lines. Thread-safe.
const char *sendResultName(SendResult::Kind kind);

} // namespace cranberry
