// Defines ChangeSubmission, one try to get a change accepted.
#pragma once

#include "configuration/ConfigurationChange.h"
#include "configuration/ConfigurationLog.h"
#include "configuration/LifeGuard.h"

#include <functional>
#include <memory>

namespace cranberry {

class KeyValueStore;
class TimerService;
class TimerSubscription;

enum class SubmissionEnd {
    Accepted,
    /// Another change has the version.
    Lost,
    /// Nothing was written, and nothing will be.
    NotDone,
    /// It may have been accepted; the platform did not tell in time.
    Unsettled,
};

/// Creates the key of a change and settles what became of it. An answer may be lost after the
/// write took effect: the key is read again, and the change ids tell whose it is.
/// Thread safety: only from the thread of the key-value store.
class ChangeSubmission
{
public:
    /// @p base is valid only with SubmissionEnd::Accepted.
    using Callback = std::function<void(SubmissionEnd end, const LogBase &base)>;

    /// Precondition: @p platform and @p timers outlive the submission.
    ChangeSubmission(KeyValueStore &platform, TimerService &timers, ConfigurationChange change,
                     Callback callback);
    ~ChangeSubmission();
    ChangeSubmission(const ChangeSubmission &) = delete;
    ChangeSubmission &operator=(const ChangeSubmission &) = delete;

    /// Precondition: not started. The callback comes once and may destroy the submission.
    void start();

private:
    using Step = void (ChangeSubmission::*)();

    void create();
    void readKey();
    void keyRead(const KeyValue &entry);
    void readBase();
    void baseRead(const LogBase &base);
    void again(Step step);
    void finish(SubmissionEnd end, const LogBase &base = {});

    KeyValueStore &m_platform;
    TimerService &m_timers;
    const ConfigurationChange m_change;
    Callback m_callback;
    MonotonicTime m_deadline;
    Milliseconds m_delay;
    /// A create was sent whose answer did not come: it may take effect until the key exists.
    bool m_mayHaveLanded = false;
    /// The key was seen to hold this change, or to have been created by it.
    bool m_isInKey = false;
    /// After a create that was answered.
    Revision m_keyRevision;
    std::unique_ptr<TimerSubscription> m_retry;
    internal::LifeGuard m_guard;
};

} // namespace cranberry
