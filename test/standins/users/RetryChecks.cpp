#include "standins/users/RetryChecks.h"

#include "http/HttpRequest.h"
#include "http/HttpResponse.h"

#include <algorithm>

namespace cranberry::standin {

namespace {

constexpr Milliseconds Window{10000};
constexpr double Ratio = 0.2;
constexpr int Slack = 50;

int countBetween(const std::vector<MonotonicTime> &times, MonotonicTime begin, MonotonicTime end)
{
    const auto first = std::lower_bound(times.begin(), times.end(), begin);
    return int(std::lower_bound(first, times.end(), end) - first);
}

} // namespace

QByteArray requestIdOf(const HttpRequest &request)
{
    return request.headers.value("Cranberryquay-Request-Id");
}

HttpResponse refusalAnswer(const HttpRequest &request)
{
    HttpResponse answer{503, {{"Cranberryquay-Not-Executed", "full"}}, {}};
    const QByteArray id = requestIdOf(request);
    if (!id.isEmpty())
        answer.headers.add("Cranberryquay-Request-Id", id);
    return answer;
}

void RetryChecks::received(const QByteArray &id, MonotonicTime now)
{
    if (m_received.contains(id))
        m_repeats.push_back(now);
    m_received.insert(id);
}

int RetryChecks::sentFrom(MonotonicTime begin) const
{
    return std::max({countBetween(m_sent, begin, begin + Window),
                     countBetween(m_sent, begin - Window / 2, begin + Window / 2),
                     countBetween(m_sent, begin - Window, begin)});
}

void RetryChecks::received(const HttpRequest &request, MonotonicTime now)
{
    const QByteArray id = request.headers.value("Cranberryquay-Request-Id");
    if (!id.isEmpty() && !request.path.startsWith("/v1/"))
        received(id, now);
}

RetryWindow RetryChecks::worstWindow() const
{
    RetryWindow worst;
    for (const MonotonicTime begin : m_repeats) {
        const RetryWindow window{countBetween(m_repeats, begin, begin + Window),
                                 int(Ratio * sentFrom(begin)) + Slack};
        const bool isWorse = window.repeats - window.allowed > worst.repeats - worst.allowed;
        if (isWorse || worst.allowed == 0)
            worst = window;
    }
    return worst;
}

} // namespace cranberry::standin
