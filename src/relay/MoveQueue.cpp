#include "relay/MoveQueue.h"

#include "relay/RelayRun.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr int MovesAtOnce = 2;

} // namespace

void MoveQueue::add(const TargetId &source, const std::shared_ptr<RelayRun> &run, double gain)
{
    QList<Entry> &waiting = m_sources[source].waiting;
    const auto place = std::find_if(waiting.begin(), waiting.end(),
                                    [gain](const Entry &entry) { return entry.gain < gain; });
    waiting.insert(place, {run, gain});
    startNext(source);
}

void MoveQueue::ended(const TargetId &source)
{
    const auto found = m_sources.find(source);
    if (found == m_sources.end())
        return;
    --found->active;
    startNext(source);
}

void MoveQueue::startNext(const TargetId &source)
{
    for (;;) {
        const auto found = m_sources.find(source);
        if (found == m_sources.end() || found->active >= MovesAtOnce)
            return;
        if (found->waiting.isEmpty()) {
            if (found->active == 0)
                m_sources.erase(found);
            return;
        }
        const std::shared_ptr<RelayRun> run = found->waiting.takeFirst().run.lock();
        if (!run)
            continue;
        ++found->active;
        if (!run->beginMove(source))
            --m_sources[source].active;
    }
}

} // namespace cranberry
