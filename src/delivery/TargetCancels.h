// Defines TargetCancels, the cancel requests to targets that are under way.
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

/// What a target said to a cancel.
enum class CancelOutcome {
    /// It had not started and never will.
    NotStarted,
    /// It had started; it runs no further.
    Started,
    /// No usable answer: the target may be dead or still running it.
    NoAnswer,
};

/// Cancels generations and keeps the exchanges until they are answered.
/// Thread safety: only from the thread of its client.
class TargetCancels
{
public:
    using Callback = std::function<void(CancelOutcome)>;

    /// Precondition: @p client outlives it.
    explicit TargetCancels(HttpClient &client);
    ~TargetCancels();
    TargetCancels(const TargetCancels &) = delete;
    TargetCancels &operator=(const TargetCancels &) = delete;

    /// Cancels @p attempt at the target and calls back once. NotStarted is only told if the
    /// answer comes from the target's start @p sentTo: one that was started anew knows nothing
    /// of what ran before. Incarnations only grow and @p sentTo was known before the send, so
    /// the same one now was there all the time.
    void cancel(const HttpEndpoint &endpoint, const AttemptId &attempt, Incarnation sentIncarnation,
                Callback callback);

private:
    HttpClient &m_client;
    quint64 m_nextNumber = 0;
    std::unordered_map<quint64, std::unique_ptr<HttpExchange>> m_exchanges;
};

} // namespace cranberry
