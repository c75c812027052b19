#pragma once

#include "base/Ids.h"
#include "base/Result.h"
#include "http/HttpRequest.h"
#include "http/HttpResponse.h"
#include "relay/AnswerHead.h"
#include "relay/AvailabilityNotice.h"
#include "relay/EngineReport.h"
#include "relay/MoveOutcome.h"
#include "relay/ReservationOutcome.h"

#include <functional>

namespace cranberry {

struct AttemptPlan;
struct MoveOrder;
struct RelayRequest;
struct ReservationOrder;

/// Encodes requests to targets and decodes their answers. Translation only: the functions keep no
/// state and make no decisions. Every member is set.
/// Thread safety: that of its functions; those of the adapters are thread-safe.
struct TargetProtocol {
    std::function<HttpRequest(const RelayRequest &, const AttemptPlan &)> attempt;
    std::function<AnswerHead(const RelayRequest &, int status, const HttpHeaders &)> answerHead;
    /// Name of the header in which a target returns the id of the request.
    QByteArray echoHeader;
    /// Makes a target that is not the given one refuse the request.
    std::function<void(HttpRequest &, const TargetId &)> expect;
    /// Whether the answer is that of another target, which has the same address now.
    std::function<bool(const TargetId &, int status, const HttpHeaders &)> isOther;
    /// What an answer says about further requests; @p status and the headers are those of any
    /// answer that came from the address of the target.
    std::function<AvailabilityNotice(const TargetId &, int status, const HttpHeaders &)> notice;
    std::function<HttpRequest()> report;
    std::function<Result<EngineReport>(const HttpResponse &)> readReport;
    std::function<HttpRequest(const MoveOrder &)> move;
    std::function<MoveOutcome(const HttpResponse &)> readMove;
    std::function<HttpRequest(const QByteArray &handle)> freeCopy;
    std::function<HttpRequest(const ReservationOrder &)> reserve;
    std::function<ReservationOutcome(const HttpResponse &)> readReservation;
    std::function<HttpRequest(const QByteArray &reservation)> freeReservation;
};

} // namespace cranberry
