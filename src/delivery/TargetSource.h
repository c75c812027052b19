// Defines TargetSource, where delivery asks for a target and reports what it did with it.
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
    /// The start of the target that was known when it was chosen; 0 if none was.
    Incarnation incarnation;
};

/// How an attempt ended, as far as the target's state is concerned.
enum class AttemptOutcome {
    Finished,
    Cancelled,
    /// The target refused it and named no reason to think that it is unwell.
    Refused,
    /// The target refused it because it leaves.
    Leaving,
    /// No connection came about: the target may be dead, and the attempt is not to blame.
    NotConnected,
    /// The connection broke: the target may be dead, and the attempt may be to blame.
    ConnectionLost,
};

/// Admission and placement as delivery sees them.
/// Thread safety: only from the thread of the event loop.
class TargetSource
{
public:
    using Callback = std::function<void(const Result<TargetAssignment> &)>;

    TargetSource() = default;
    virtual ~TargetSource() = default;
    TargetSource(const TargetSource &) = delete;
    TargetSource &operator=(const TargetSource &) = delete;

    /// Asks for a target. Calls back once, possibly before it returns, with a place on which
    /// the attempt then counts, or with the refusal, at once when it is known.
    virtual void acquire(const TargetDemand &demand, Callback callback) = 0;

    /// Withdraws the acquire of @p request if it has not called back.
    virtual void withdraw(const RequestId &request) = 0;

    /// A token of @p attempt arrived.
    virtual void tokenReceived(const AttemptId &attempt) = 0;

    /// @p attempt no longer counts on @p target.
    virtual void attemptEnded(const AttemptId &attempt, const TargetId &target,
                              AttemptOutcome outcome) = 0;

    /// Nothing further will be asked for @p request.
    virtual void requestEnded(const RequestId &request) = 0;

    /// Whether the workspace and target may spend a further send on a retry.
    virtual bool takeRetry(const WorkspaceId &workspace, const TargetId &target) = 0;
};

} // namespace cranberry
