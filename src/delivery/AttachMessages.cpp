#include "delivery/AttachMessages.h"

#include <QCborArray>

namespace cranberry {

namespace {

enum Key {
    SessionKey = 1,
    ClaimKey = 2,
    AttemptKey = 3,
    FromKey = 4,
    DoneKey = 5,
    StateKey = 6,
    EventsKey = 7,
    ErrorKindKey = 8,
    ErrorRanKey = 9,
    ErrorDetailKey = 10,
};

std::optional<Ran> ranFrom(const QCborValue &value)
{
    for (const Ran ran : {Ran::No, Ran::Maybe, Ran::Yes}) {
        if (value.toString() == QLatin1String(ranName(ran)))
            return ran;
    }
    return std::nullopt;
}

std::optional<Error> errorFrom(const QCborMap &body)
{
    const std::optional<ErrorKind> kind =
        errorKindFromName(body.value(ErrorKindKey).toString().toUtf8());
    const std::optional<Ran> ran = ranFrom(body.value(ErrorRanKey));
    if (!kind || !ran)
        return std::nullopt;
    return Error{*kind, *ran, body.value(ErrorDetailKey).toString(), {}, {}};
}

std::optional<QList<AttachDataMessage::Event>> eventsFrom(const QCborValue &value)
{
    QList<AttachDataMessage::Event> events;
    const QCborArray fields = value.toArray();
    if (!value.isArray() || fields.size() % 2 != 0)
        return std::nullopt;
    for (qsizetype i = 0; i < fields.size(); i += 2) {
        if (!fields[i].isInteger() || !fields[i + 1].isByteArray())
            return std::nullopt;
        events.append({fields[i].toInteger(), fields[i + 1].toByteArray()});
    }
    return events;
}

} // namespace

QCborMap toCbor(const AttachRequestMessage &message)
{
    return {{int(SessionKey), message.session.text()},
            {int(ClaimKey), message.claimKey},
            {int(AttemptKey), message.claimAttempt.text()},
            {int(FromKey), message.from},
            {int(DoneKey), message.done}};
}

std::optional<AttachRequestMessage> attachRequestFrom(const QCborMap &body)
{
    AttachRequestMessage message;
    message.session = RequestId(body.value(SessionKey).toString());
    message.claimKey = body.value(ClaimKey).toByteArray();
    message.claimAttempt = AttemptId(body.value(AttemptKey).toString());
    message.from = body.value(FromKey).toInteger(-1);
    message.done = body.value(DoneKey).toBool();
    const bool wellFormed = !message.session.isEmpty() && !message.claimKey.isEmpty()
        && !message.claimAttempt.isEmpty() && message.from >= 0;
    return wellFormed ? std::optional(message) : std::nullopt;
}

QCborMap toCbor(const AttachDataMessage &message)
{
    QCborArray events;
    for (const AttachDataMessage::Event &event : message.events) {
        events.append(event.index);
        events.append(event.data);
    }
    QCborMap body{{int(SessionKey), message.session.text()},
                  {int(FromKey), message.from},
                  {int(StateKey), int(message.state)},
                  {int(EventsKey), events}};
    if (message.error) {
        body.insert(int(ErrorKindKey), QLatin1String(errorAnswer(message.error->kind).name));
        body.insert(int(ErrorRanKey), QLatin1String(ranName(message.error->ran)));
        body.insert(int(ErrorDetailKey), message.error->detail);
    }
    return body;
}

std::optional<AttachDataMessage> attachDataFrom(const QCborMap &body)
{
    using State = AttachDataMessage::State;
    AttachDataMessage message;
    message.session = RequestId(body.value(SessionKey).toString());
    message.from = body.value(FromKey).toInteger(-1);
    const qint64 state = body.value(StateKey).toInteger();
    const auto events = eventsFrom(body.value(EventsKey));
    const bool knownState = state >= qint64(State::Running) && state <= qint64(State::Unknown);
    if (message.session.isEmpty() || message.from < 0 || !knownState || !events)
        return std::nullopt;
    message.state = State(state);
    message.events = *events;
    if (message.state == State::Failed) {
        message.error = errorFrom(body);
        if (!message.error)
            return std::nullopt;
    }
    return message;
}

} // namespace cranberry
