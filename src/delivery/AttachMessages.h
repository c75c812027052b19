#pragma once

#include "base/Error.h"
#include "base/Ids.h"

#include <QByteArray>
#include <QCborMap>
#include <QList>

#include <optional>

namespace cranberry {

/// Sent by a daemon that follows a generation of another daemon: requests the events from index
/// `from` on, or ends the session.
struct AttachRequestMessage {
    /// Id of the following caller's request, which identifies the session.
    RequestId session;
    QByteArray claimKey;
    /// The attempt that the claim was granted to. It distinguishes a claim holder that has
    /// restarted from the one before the restart.
    AttemptId claimAttempt;
    /// Index of the first event that is requested.
    qint64 from = 0;
    /// No more events are needed; the session ends.
    bool done = false;
};

/// The answer to an AttachRequestMessage: events from the requested index on.
struct AttachDataMessage {
    enum class State {
        /// More events will follow, or exist but did not fit into this message.
        Running = 1,
        /// These events are the last.
        Complete = 2,
        /// These events are the last; the generation failed after them.
        Failed = 3,
        /// The claim holder does not have the generation, or an event is too large to be sent.
        Unknown = 4,
    };

    struct Event {
        qint64 index = 0;
        /// The JSON object exactly as the target sent it.
        QByteArray data;
    };

    RequestId session;
    qint64 from = 0;
    State state = State::Running;
    QList<Event> events;
    /// Set if the state is Failed.
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
