#include "standins/users/LimitChecks.h"

#include <algorithm>

namespace cranberry::standin {

namespace {

constexpr Milliseconds Window{4000};
constexpr Milliseconds StableTime{3000};
constexpr Milliseconds ReactionTime{500};
constexpr double AllowedFactor = 1.5;
constexpr int AllowedExtra = 5;
/// RunnerEmulator writes its id after this prefix.
constexpr qsizetype SealPrefixLength = sizeof("seal-") - 1;

} // namespace

int LimitChecks::allowedInWindow(double perSecond)
{
    const std::chrono::duration<double> window = Window;
    return int(AllowedFactor * perSecond * window.count()) + AllowedExtra;
}

void LimitChecks::named(const QByteArray &target, std::optional<double> perSecond,
                        MonotonicTime now)
{
    Target named;
    named.perSecond = perSecond;
    named.namedAt = now;
    m_targets[target] = named;
}

void LimitChecks::sent(const QByteArray &id, int daemon)
{
    m_daemonOfRequest[id] = daemon;
}

void LimitChecks::passedOn(const HttpHeaders &headers, int daemon, MonotonicTime now)
{
    if (!headers.contains("Server-Limit"))
        return;
    const QByteArray seal = headers.value("Cranberryquay-Response-Seal");
    m_targets[seal.mid(SealPrefixLength)].passedOnAt.emplace(daemon, now);
}

void LimitChecks::disturbed(int daemon, MonotonicTime now)
{
    m_disturbedAt[daemon] = now;
}

void LimitChecks::received(const QByteArray &target, const HttpRequest &request, MonotonicTime now)
{
    const int daemon = m_daemonOfRequest[request.headers.value("Cranberryquay-Request-Id")];
    const auto found = m_targets.find(target);
    if (found == m_targets.end() || !found->second.perSecond)
        return;
    Target &named = found->second;
    const auto passedOn = named.passedOnAt.find(daemon);
    const auto disturbed = m_disturbedAt.find(daemon);
    const bool isExcused = disturbed != m_disturbedAt.end() && now - disturbed->second < StableTime;
    if (now - named.namedAt < StableTime || passedOn == named.passedOnAt.end()
        || now - passedOn->second < ReactionTime || isExcused)
        return;
    named.arrivals.push_back(now);
    const auto first = std::lower_bound(named.arrivals.begin(), named.arrivals.end(), now - Window);
    const int inWindow = int(named.arrivals.end() - first);
    named.mostInWindow = std::max(named.mostInWindow, inWindow);
    if (inWindow == allowedInWindow(*named.perSecond) + 1)
        m_broken.append(QStringLiteral("%1 named %2 a second and received %3 requests in 4 s")
                            .arg(QString::fromLatin1(target))
                            .arg(*named.perSecond)
                            .arg(inWindow));
}

int LimitChecks::counted(const QByteArray &target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? 0 : int(found->second.arrivals.size());
}

int LimitChecks::mostInWindow(const QByteArray &target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? 0 : found->second.mostInWindow;
}

} // namespace cranberry::standin
