#include "configuration/ChangeSubmission.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "platformstore/KeyValueStore.h"

#include <QRandomGenerator>

#include <algorithm>

namespace cranberry {

namespace {

constexpr Milliseconds SettleTime{8000};
constexpr Milliseconds FirstDelay{50};
constexpr Milliseconds LongestDelay{1000};

} // namespace

ChangeSubmission::ChangeSubmission(KeyValueStore &platform, TimerService &timers,
                                   ConfigurationChange change, Callback callback)
    : m_platform(platform)
    , m_timers(timers)
    , m_change(std::move(change))
    , m_callback(std::move(callback))
    , m_delay(FirstDelay)
{
}

ChangeSubmission::~ChangeSubmission() = default;

void ChangeSubmission::start()
{
    m_deadline = m_timers.now() + SettleTime;
    create();
}

void ChangeSubmission::create()
{
    const auto created = [this](const SwapResult &result) {
        switch (result.outcome) {
        case SwapOutcome::Swapped:
            m_isInKey = true;
            m_keyRevision = result.revision;
            readBase();
            return;
        case SwapOutcome::Conflict:
            // Only after a lost answer can the key in the way be this change itself.
            if (m_mayHaveLanded)
                readKey();
            else
                finish(SubmissionEnd::Lost);
            return;
        case SwapOutcome::Unknown:
            m_mayHaveLanded = true;
            again(&ChangeSubmission::readKey);
            return;
        case SwapOutcome::NotDone:
            if (m_mayHaveLanded)
                again(&ChangeSubmission::readKey);
            else
                finish(SubmissionEnd::NotDone);
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
                            keyRead(entry.value());
                        else
                            again(&ChangeSubmission::readKey);
                    }));
}

void ChangeSubmission::keyRead(const KeyValue &entry)
{
    if (entry.revision == Revision()) {
        // The lost create did not land, or still may. Sending it again is harmless: it is the
        // same change under the same id, and only one of the two can create the key.
        again(&ChangeSubmission::create);
        return;
    }
    const std::optional<ConfigurationChange> found = decodeChange(m_change.version, entry.value);
    m_isInKey = found && found->id == m_change.id;
    readBase();
}

void ChangeSubmission::readBase()
{
    m_platform.read(BaseKey, m_guard.wrap([this](const Result<KeyValue> &entry) {
        if (entry.has_value())
            baseRead(decodeBase(entry.value()));
        else
            again(&ChangeSubmission::readBase);
    }));
}

void ChangeSubmission::baseRead(const LogBase &base)
{
    const bool covered = m_change.version <= base.trimmed;
    if (!covered) {
        // The key was never trimmed, so there was one creation of it only: see LogBase.
        finish(m_isInKey ? SubmissionEnd::Accepted : SubmissionEnd::Lost, base);
        return;
    }
    // The key had been trimmed. If this change was sent once and its key is younger than the
    // record, it was created after the trimming and does not count; the next trim removes it.
    // Otherwise it may have been accepted and trimmed since, while this daemon was paused.
    if (!m_mayHaveLanded && base.revision < m_keyRevision)
        finish(SubmissionEnd::Lost);
    else
        finish(SubmissionEnd::Unsettled);
}

void ChangeSubmission::again(Step step)
{
    if (m_timers.now() >= m_deadline) {
        finish(SubmissionEnd::Unsettled);
        return;
    }
    const auto jitter =
        Milliseconds(QRandomGenerator::global()->bounded(qint64(m_delay.count()) + 1));
    m_retry = m_timers.after(m_delay + jitter, [this, step] { (this->*step)(); });
    m_delay = std::min(m_delay * 2, LongestDelay);
}

void ChangeSubmission::finish(SubmissionEnd end, const LogBase &base)
{
    m_retry.reset();
    const Callback callback = std::exchange(m_callback, {});
    callback(end, base);
}

} // namespace cranberry
