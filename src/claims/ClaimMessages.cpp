#include "claims/ClaimMessages.h"

#include "claims/ClaimCodec.h"
#include "claims/ClaimSegment.h"

namespace cranberry {

namespace {

enum MessageKey {
    ClaimMember = 1,
    AttemptMember = 2,
    KindMember = 3,
    HolderMember = 4,
    WindowMember = 5,
    ShardMember = 6,
};

/// Maximum batch window accepted from a coordinator, since it lengthens the timeout of requests.
constexpr qint64 MaxBatchWindowMs = 1000;

enum WireKind {
    DoneKind = 1,
    HeldKind = 2,
    UnavailableKind = 3,
};

int kindToWire(ClaimOutcome::Kind kind)
{
    switch (kind) {
    case ClaimOutcome::Kind::Done:
        return DoneKind;
    case ClaimOutcome::Kind::Held:
        return HeldKind;
    case ClaimOutcome::Kind::Unavailable:
        return UnavailableKind;
    }
    return UnavailableKind;
}

std::optional<ClaimOutcome::Kind> kindFromWire(qint64 kind)
{
    switch (kind) {
    case DoneKind:
        return ClaimOutcome::Kind::Done;
    case HeldKind:
        return ClaimOutcome::Kind::Held;
    case UnavailableKind:
        return ClaimOutcome::Kind::Unavailable;
    default:
        return std::nullopt;
    }
}

} // namespace

QCborMap claimRequestToCbor(const ClaimRequestMessage &message)
{
    return {{int(ClaimMember), claimToCbor(message.claim)}};
}

std::optional<ClaimRequestMessage> claimRequestFromCbor(const QCborMap &body)
{
    const std::optional<Claim> claim = claimFromCbor(body.value(ClaimMember));
    if (!claim)
        return std::nullopt;
    return ClaimRequestMessage{*claim};
}

QCborMap claimAnswerToCbor(const ClaimAnswerMessage &message)
{
    QCborMap body{{int(AttemptMember), message.attempt.text()},
                  {int(KindMember), kindToWire(message.outcome.kind)},
                  {int(ShardMember), message.shard},
                  {int(WindowMember), qint64(message.window.count())}};
    if (message.outcome.kind == ClaimOutcome::Kind::Held)
        body.insert(int(HolderMember), claimToCbor(message.outcome.holder));
    return body;
}

std::optional<ClaimAnswerMessage> claimAnswerFromCbor(const QCborMap &body)
{
    const auto kind = kindFromWire(body.value(KindMember).toInteger());
    const qint64 shard = body.value(ShardMember).toInteger(-1);
    const qint64 window = body.value(WindowMember).toInteger(-1);
    const bool wellFormed =
        kind && body.value(AttemptMember).isString() && window >= 0 && window <= MaxBatchWindowMs;
    if (!wellFormed)
        return std::nullopt;
    ClaimAnswerMessage message{AttemptId(body.value(AttemptMember).toString()),
                               {*kind, {}, true},
                               int(shard),
                               Milliseconds(window)};
    if (*kind != ClaimOutcome::Kind::Held)
        return message;
    const std::optional<Claim> holder = claimFromCbor(body.value(HolderMember));
    if (!holder)
        return std::nullopt;
    message.outcome.holder = *holder;
    return message;
}

} // namespace cranberry
