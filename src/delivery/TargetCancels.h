#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "http/HttpEndpoint.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace cranberry {

class HttpClient;
class HttpExchange;

/// A target's answer to a cancel.
enum class CancelOutcome {
    /// The attempt had not started and never will.
    NotStarted,
    /// The attempt had started and is stopped.
    Started,
    /// No usable answer: the target may be dead or may still be running the attempt.
    NoAnswer,
};

/// Cancels generations at targets and owns the pending cancel requests.
/// Thread safety: only from the thread of its HTTP client.
class TargetCancels
{
public:
    using Callback = std::function<void(CancelOutcome)>;

    /// Precondition: @p client outlives the object.
    explicit TargetCancels(HttpClient &client);
    ~TargetCancels();
    TargetCancels(const TargetCancels &) = delete;
    TargetCancels &operator=(const TargetCancels &) = delete;

    /// Cancels @p attempt at the target and calls back once. NotStarted is only reported if the
    /// answering target has incarnation @p sentIncarnation, which was known before the send: a
    /// target that has restarted knows nothing of what ran before. Incarnations only grow, so a
    /// target that still has the same one has not restarted since the send.
    void cancel(const HttpEndpoint &endpoint, const AttemptId &attempt, Incarnation sentIncarnation,
                Callback callback);

private:
    HttpClient &m_client;
    quint64 m_nextNumber = 0;
    std::unordered_map<quint64, std::unique_ptr<HttpExchange>> m_exchanges;
};

} // namespace cranberry
