#pragma once

#include "configuration/CallbackGuard.h"
#include "configuration/ConfigurationChange.h"
#include "configuration/ConfigurationLog.h"

#include <functional>
#include <memory>

namespace cranberry {

class KeyValueStore;
class TimerService;
class TimerSubscription;

/// Outcome of a ChangeSubmission.
enum class CommitOutcome {
    Accepted,
    /// Another change was accepted for the version.
    Conflict,
    /// The change was not written and will not be.
    NotWritten,
    /// The change may have been accepted; the platform did not answer in time.
    Unsettled,
};

/// Makes one attempt to get a change accepted: creates the key of the change and determines the
/// outcome. If the answer to the create is lost, the write may still have taken effect; the key is
/// then read back, and the change id in it shows which change was written.
/// Thread safety: only from the thread of the key-value store.
class ChangeSubmission
{
public:
    /// @p base is valid only with CommitOutcome::Accepted.
    using Callback = std::function<void(CommitOutcome outcome, const LogBase &base)>;

    /// Precondition: @p platform and @p timers outlive the submission.
    ChangeSubmission(KeyValueStore &platform, TimerService &timers, ConfigurationChange change,
                     Callback callback);
    ~ChangeSubmission();
    ChangeSubmission(const ChangeSubmission &) = delete;
    ChangeSubmission &operator=(const ChangeSubmission &) = delete;

    /// Calls the callback exactly once; the callback may destroy the submission.
    /// Precondition: not started.
    void start();

private:
    using Step = void (ChangeSubmission::*)();

    void create();
    void readKey();
    void onKeyRead(const KeyValue &entry);
    void readBase();
    void onBaseRead(const LogBase &base);
    void retryLater(Step step);
    void finish(CommitOutcome outcome, const LogBase &base = {});

    KeyValueStore &m_platform;
    TimerService &m_timers;
    const ConfigurationChange m_change;
    Callback m_callback;
    MonotonicTime m_deadline;
    Milliseconds m_retryDelay;
    /// A create was sent and not answered. It may still take effect as long as the key is absent.
    bool m_hasUnansweredCreate = false;
    /// The key was created by this submission or has been read to hold its change.
    bool m_ownsKey = false;
    /// Revision of the key, set when a create is answered with success.
    Revision m_keyRevision;
    std::unique_ptr<TimerSubscription> m_retryTimer;
    internal::CallbackGuard m_guard;
};

} // namespace cranberry
