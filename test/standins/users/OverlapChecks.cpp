#include "standins/users/OverlapChecks.h"

#include <algorithm>

namespace cranberry::standin {

namespace {

constexpr Milliseconds MaxOverlap{400};
constexpr Milliseconds StableTime{3000};

} // namespace

void OverlapChecks::worked(const QByteArray &target, const QByteArray &id, bool isContinued,
                           MonotonicTime now)
{
    const auto [stay, isNew] = m_stays[id].try_emplace(target);
    if (isNew)
        stay->second = {isContinued, now, now};
    stay->second.to = now;
}

int OverlapChecks::continued() const
{
    return int(std::count_if(m_stays.begin(), m_stays.end(),
                             [](const auto &entry) { return entry.second.size() > 1; }));
}

bool OverlapChecks::isExcused(const QByteArray &id, MonotonicTime continuedAt) const
{
    const auto daemon = m_daemons.find(id);
    if (daemon == m_daemons.end())
        return false;
    const MonotonicTime due = continuedAt + MaxOverlap;
    const auto [first, last] = m_disturbed.equal_range(daemon->second);
    return std::any_of(first, last, [&](const auto &entry) {
        return entry.second >= continuedAt - StableTime && entry.second <= due;
    });
}

QStringList OverlapChecks::broken() const
{
    QStringList broken;
    for (const auto &[id, stays] : m_stays) {
        for (const auto &[target, stay] : stays) {
            for (const auto &[before, earlier] : stays) {
                const bool isTooLong = stay.isContinued && earlier.from < stay.from
                    && earlier.to > stay.from + MaxOverlap;
                if (!isTooLong || isExcused(id, stay.from))
                    continue;
                const auto overlap =
                    std::chrono::duration_cast<Milliseconds>(earlier.to - stay.from);
                broken.append(QStringLiteral("%1 worked on %2 for %3 ms after it continued at %4")
                                  .arg(QString::fromLatin1(before), QString::fromLatin1(id))
                                  .arg(overlap.count())
                                  .arg(QString::fromLatin1(target)));
            }
        }
    }
    return broken;
}

} // namespace cranberry::standin
