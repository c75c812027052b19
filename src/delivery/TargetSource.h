#pragma once

#include "base/Ids.h"
#include "base/Result.h"
#include "base/Units.h"
#include "http/HttpEndpoint.h"

#include <functional>

namespace cranberry {

struct TargetDemand;

/// A target that an attempt may be sent to.
struct TargetAssignment {
    TargetId target;
    HttpEndpoint endpoint;
    /// Incarnation of the target when it was chosen; 0 if unknown.
    Incarnation incarnation;
};

/// How an attempt ended, as far as it concerns the state of the target.
enum class AttemptOutcome {
    Finished,
    Cancelled,
    /// The target refused the attempt, which is no sign that the target is unhealthy.
    Refused,
    /// The target refused the attempt because it is draining.
    Leaving,
    /// No connection was established: the target may be dead, and the attempt did not cause it.
    NotConnected,
    /// The connection broke: the target may be dead, and the attempt may have caused it.
    ConnectionLost,
};

/// Interface of admission and placement to delivery, which acquires targets and reports how
/// attempts on them proceed and end.
/// Thread safety: only from the event loop thread.
class TargetSource
{
public:
    using Callback = std::function<void(const Result<TargetAssignment> &)>;

    TargetSource() = default;
    virtual ~TargetSource() = default;
    TargetSource(const TargetSource &) = delete;
    TargetSource &operator=(const TargetSource &) = delete;

    /// Requests a target. Calls back once, possibly before returning: with an assignment, from
    /// which on the attempt counts as load of the target, or with an error as soon as the request
    /// is refused.
    virtual void acquire(const TargetDemand &demand, Callback callback) = 0;

    /// Cancels the pending acquire() of @p request, if there is one.
    virtual void withdraw(const RequestId &request) = 0;

    /// Reports that a token of @p attempt has arrived.
    virtual void tokenReceived(const AttemptId &attempt) = 0;

    /// Reports that @p attempt has ended and is no longer load of @p target.
    virtual void attemptEnded(const AttemptId &attempt, const TargetId &target,
                              AttemptOutcome outcome) = 0;

    /// Reports that no further target will be requested for @p request.
    virtual void requestEnded(const RequestId &request) = 0;

    /// Consumes one retry from the budgets of @p workspace and @p target. Returns false if the
    /// retry is not allowed.
    virtual bool takeRetry(const WorkspaceId &workspace, const TargetId &target) = 0;
};

} // namespace cranberry
