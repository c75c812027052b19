#include "configuration/ChangeSubmission.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "platformstore/KeyValueStore.h"

#include <QRandomGenerator>

#include <algorithm>

namespace cranberry {

namespace {

constexpr Milliseconds SubmissionTimeout{8000};
constexpr Milliseconds MinRetryDelay{50};
constexpr Milliseconds MaxRetryDelay{1000};

} // namespace

ChangeSubmission::ChangeSubmission(KeyValueStore &platform, TimerService &timers,
                                   ConfigurationChange change, Callback callback)
    : m_platform(platform)
    , m_timers(timers)
    , m_change(std::move(change))
    , m_callback(std::move(callback))
    , m_retryDelay(MinRetryDelay)
{
}

ChangeSubmission::~ChangeSubmission() = default;

void ChangeSubmission::start()
{
    m_deadline = m_timers.now() + SubmissionTimeout;
    create();
}

void ChangeSubmission::create()
{
    const auto created = [this](const SwapResult &result) {
        switch (result.outcome) {
        case SwapOutcome::Swapped:
            m_ownsKey = true;
            m_keyRevision = result.revision;
            readBase();
            return;
        case SwapOutcome::Conflict:
            // The existing key can hold this change only if an earlier create was not answered.
            if (m_hasUnansweredCreate)
                readKey();
            else
                finish(CommitOutcome::Conflict);
            return;
        case SwapOutcome::Unknown:
            m_hasUnansweredCreate = true;
            retryLater(&ChangeSubmission::readKey);
            return;
        case SwapOutcome::NotWritten:
            if (m_hasUnansweredCreate)
                retryLater(&ChangeSubmission::readKey);
            else
                finish(CommitOutcome::NotWritten);
            return;
        }
    };
    m_platform.compareAndSwap(changeKey(m_change.version), Revision(), encodeChange(m_change),
                              std::nullopt, m_guard.wrap(created));
}

void ChangeSubmission::readKey()
{
    m_platform.read(changeKey(m_change.version),
                    m_guard.wrap([this](const Result<KeyValue> &entry) {
                        if (entry.has_value())
                            onKeyRead(entry.value());
                        else
                            retryLater(&ChangeSubmission::readKey);
                    }));
}

void ChangeSubmission::onKeyRead(const KeyValue &entry)
{
    if (entry.revision == Revision()) {
        // The unanswered create has not taken effect, but still may. Sending it again is safe:
        // it carries the same change with the same id, and only one of the two can create the key.
        retryLater(&ChangeSubmission::create);
        return;
    }
    const std::optional<ConfigurationChange> found = decodeChange(m_change.version, entry.value);
    m_ownsKey = found && found->id == m_change.id;
    readBase();
}

void ChangeSubmission::readBase()
{
    m_platform.read(BaseKey, m_guard.wrap([this](const Result<KeyValue> &entry) {
        if (entry.has_value())
            onBaseRead(decodeBase(entry.value()));
        else
            retryLater(&ChangeSubmission::readBase);
    }));
}

void ChangeSubmission::onBaseRead(const LogBase &base)
{
    const bool isTrimmed = m_change.version <= base.trimmedVersion;
    if (!isTrimmed) {
        // The key has never been trimmed, so it was created only once: see LogBase.
        finish(m_ownsKey ? CommitOutcome::Accepted : CommitOutcome::Conflict, base);
        return;
    }
    // The version has been trimmed. If the create was sent once and its key is newer than the base
    // record, the key was created after the trimming and is not accepted; the next trimming removes
    // it. Otherwise the change may have been accepted and then trimmed while this daemon was
    // paused.
    if (!m_hasUnansweredCreate && base.revision < m_keyRevision)
        finish(CommitOutcome::Conflict);
    else
        finish(CommitOutcome::Unsettled);
}

void ChangeSubmission::retryLater(Step step)
{
    if (m_timers.now() >= m_deadline) {
        finish(CommitOutcome::Unsettled);
        return;
    }
    const auto jitter =
        Milliseconds(QRandomGenerator::global()->bounded(qint64(m_retryDelay.count()) + 1));
    m_retryTimer = m_timers.after(m_retryDelay + jitter, [this, step] { (this->*step)(); });
    m_retryDelay = std::min(m_retryDelay * 2, MaxRetryDelay);
}

void ChangeSubmission::finish(CommitOutcome outcome, const LogBase &base)
{
    m_retryTimer.reset();
    const Callback callback = std::exchange(m_callback, {});
    callback(outcome, base);
}

} // namespace cranberry
