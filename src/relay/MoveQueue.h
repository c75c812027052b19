// Defines MoveQueue, which orders the moves of generations away from targets that leave.
#pragma once

#include "base/Ids.h"

#include <QHash>
#include <QList>

#include <memory>

namespace cranberry {

class RelayRun;

/// Copies from one engine share its link: two at a time finish the first ones early, while
/// all at once would finish all of them late, and a copy that is not complete when the engine
/// goes is worth nothing.
/// Thread safety: only from the thread of the event loop.
class MoveQueue
{
public:
    /// Moves @p run, which is at @p source, when its turn comes; larger @p gain goes first.
    void add(const TargetId &source, const std::shared_ptr<RelayRun> &run, double gain);
    /// A move that began has ended.
    void ended(const TargetId &source);

private:
    struct Entry {
        std::weak_ptr<RelayRun> run;
        double gain = 0;
    };
    struct Source {
        QList<Entry> waiting;
        int active = 0;
    };

    void startNext(const TargetId &source);

    QHash<TargetId, Source> m_sources;
};

} // namespace cranberry
