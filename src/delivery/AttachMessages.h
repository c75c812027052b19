// Defines the messages by which a daemon follows a generation that another one runs.
#pragma once

#include "base/Error.h"
#include "base/Ids.h"

#include <QByteArray>
#include <QCborMap>
#include <QList>

#include <optional>

namespace cranberry {

/// Asks for the events from a number on, or says that no more are wanted.
struct AttachRequestMessage {
    /// The request that follows; its id names the session.
    RequestId session;
    QByteArray claimKey;
    /// The send that the claim allowed: tells a holder that was started anew from the one before.
    AttemptId claimAttempt;
    qint64 from = 0;
    bool done = false;
};

/// What is known of the generation from the number that was asked for on.
struct AttachDataMessage {
    enum class State {
        /// More will come, or more is there than one message carries.
        Running = 1,
        /// These events are the last.
        Complete = 2,
        /// These events are the last; then it failed.
        Failed = 3,
        /// The holder has no such generation.
        Unknown = 4,
    };

    struct Event {
        qint64 index = 0;
        /// The JSON object as the target wrote it.
        QByteArray data;
    };

    RequestId session;
    qint64 from = 0;
    State state = State::Running;
    QList<Event> events;
    /// Set if Failed.
    std::optional<Error> error;
};

/// Thread-safe.
QCborMap toCbor(const AttachRequestMessage &message);
/// Empty if @p body is not well formed. Thread-safe.
std::optional<AttachRequestMessage> attachRequestFrom(const QCborMap &body);

/// Thread-safe.
QCborMap toCbor(const AttachDataMessage &message);
/// Empty if @p body is not well formed. Thread-safe.
std::optional<AttachDataMessage> attachDataFrom(const QCborMap &body);

} // namespace cranberry
