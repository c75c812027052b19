#include "standins/users/PauseChecks.h"

#include <algorithm>

namespace cranberry::standin {

namespace {

constexpr Milliseconds ReactionTime{500};
constexpr Milliseconds DrainTime{2000};
constexpr int AllowedInPause = 2;

} // namespace

void PauseChecks::sent(const QByteArray &id, int daemon, MonotonicTime now)
{
    m_sent[id] = {daemon, now};
}

void PauseChecks::forwarded(const QByteArray &id, int daemon)
{
    m_sent[id].daemon = daemon;
}

void PauseChecks::disturbed(int daemon, MonotonicTime now)
{
    m_disturbed.emplace(daemon, now);
}

void PauseChecks::restarted(const QByteArray &target, MonotonicTime now)
{
    for (std::vector<Said> *said : {&m_pauses, &m_leaving}) {
        for (Said &one : *said) {
            if (one.target == target)
                one.endsAt = std::min(one.endsAt, now);
        }
    }
}

void PauseChecks::paused(const QByteArray &target, const QByteArray &id, Milliseconds duration,
                         MonotonicTime now)
{
    m_pauses.push_back({target, id, now, now + duration});
}

void PauseChecks::saidLeaving(const QByteArray &target, const QByteArray &id, MonotonicTime now)
{
    const int daemon = daemonOf(id);
    const bool isKnown = std::any_of(m_leaving.begin(), m_leaving.end(), [&](const Said &said) {
        return said.target == target && daemonOf(said.id) == daemon
            && said.endsAt == MonotonicTime::max() && !isDisturbed(daemon, said.at, now);
    });
    if (!isKnown)
        m_leaving.push_back({target, id, now, MonotonicTime::max()});
}

void PauseChecks::received(const QByteArray &target, const QByteArray &id, MonotonicTime now)
{
    m_arrivals.push_back({target, id, now});
}

int PauseChecks::daemonOf(const QByteArray &id) const
{
    const auto found = m_sent.find(id);
    return found == m_sent.end() ? -1 : found->second.daemon;
}

bool PauseChecks::isDisturbed(int daemon, MonotonicTime since, MonotonicTime until) const
{
    const auto [first, last] = m_disturbed.equal_range(daemon);
    return std::any_of(first, last, [&](const auto &entry) {
        return entry.second >= since && entry.second <= until;
    });
}

QList<QByteArray> PauseChecks::requestsIn(const Said &pause) const
{
    QList<QByteArray> ids;
    const int daemon = daemonOf(pause.id);
    const auto first = std::lower_bound(
        m_arrivals.begin(), m_arrivals.end(), pause.at + ReactionTime,
        [](const Arrival &arrival, MonotonicTime time) { return arrival.at < time; });
    for (auto arrival = first; arrival != m_arrivals.end(); ++arrival) {
        if (arrival->at >= std::min(pause.until, pause.endsAt))
            break;
        if (arrival->target == pause.target && daemonOf(arrival->id) == daemon
            && !isDisturbed(daemon, pause.at, arrival->at))
            ids.append(arrival->id);
    }
    return ids;
}

QList<QByteArray> PauseChecks::requestsAfter(const Said &leaving) const
{
    QList<QByteArray> ids;
    const int daemon = daemonOf(leaving.id);
    for (const Arrival &arrival : m_arrivals) {
        if (arrival.target != leaving.target || daemonOf(arrival.id) != daemon
            || arrival.at >= leaving.endsAt)
            continue;
        const MonotonicTime sentAt = m_sent.at(arrival.id).at;
        if (sentAt >= leaving.at + DrainTime && !isDisturbed(daemon, leaving.at, arrival.at))
            ids.append(arrival.id);
    }
    return ids;
}

int PauseChecks::mostInPause() const
{
    qsizetype most = 0;
    for (const Said &pause : m_pauses)
        most = std::max(most, requestsIn(pause).size());
    return int(most);
}

int PauseChecks::afterLeaving() const
{
    qsizetype all = 0;
    for (const Said &leaving : m_leaving)
        all += requestsAfter(leaving).size();
    return int(all);
}

QStringList PauseChecks::broken() const
{
    QStringList broken;
    for (const Said &pause : m_pauses) {
        const QList<QByteArray> ids = requestsIn(pause);
        const auto asked = std::chrono::duration_cast<Milliseconds>(pause.until - pause.at);
        if (ids.size() > AllowedInPause)
            broken.append(QStringLiteral("%1 asked daemon %2 for %3 ms in its answer to %4 and "
                                         "received %5 requests: %6")
                              .arg(QString::fromLatin1(pause.target))
                              .arg(daemonOf(pause.id))
                              .arg(asked.count())
                              .arg(QString::fromLatin1(pause.id))
                              .arg(ids.size())
                              .arg(QString::fromLatin1(ids.join(' '))));
    }
    for (const Said &leaving : m_leaving) {
        const QList<QByteArray> ids = requestsAfter(leaving);
        if (!ids.isEmpty())
            broken.append(QStringLiteral("%1 told daemon %2 in its answer to %3 that it leaves and "
                                         "received %4 requests later: %5")
                              .arg(QString::fromLatin1(leaving.target))
                              .arg(daemonOf(leaving.id))
                              .arg(QString::fromLatin1(leaving.id))
                              .arg(ids.size())
                              .arg(QString::fromLatin1(ids.join(' '))));
    }
    return broken;
}

} // namespace cranberry::standin
