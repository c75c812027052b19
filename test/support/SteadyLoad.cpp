#include "support/SteadyLoad.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "support/EventLoop.h"
#include "support/ExpectedText.h"
#include "support/Fleet.h"
#include "support/FleetStream.h"

#include <algorithm>
#include <cstdio>

namespace cranberry::test {

namespace {

constexpr int ShownBytes = 400;

} // namespace

SteadyLoad::SteadyLoad(Fleet &fleet, Milliseconds interval, int maxTokens)
    : m_fleet(fleet)
    , m_maxTokens(maxTokens)
    , m_timer(fleet.client().timers().every(interval, [this] { send(); }))
{
    for (int i = 0; i < fleet.daemonCount(); ++i)
        m_daemons.append(i);
}

SteadyLoad::~SteadyLoad() = default;

void SteadyLoad::send()
{
    if (m_daemons.isEmpty())
        return;
    const int number = sentCount();
    const int daemon = m_daemons.at(number % m_daemons.size());
    const QString prompt = QStringLiteral("steady request %1").arg(number);
    auto stream = m_fleet.complete(daemon, prompt, m_maxTokens, m_fleet.caller());
    m_sent.push_back({prompt, daemon, std::move(stream)});
}

void SteadyLoad::stop()
{
    m_timer.reset();
}

int SteadyLoad::openCount() const
{
    return int(std::count_if(m_sent.begin(), m_sent.end(),
                             [](const Sent &sent) { return !sent.stream->isOver(); }));
}

bool SteadyLoad::waitAll()
{
    return waitFor([this] { return openCount() == 0; }, std::chrono::seconds(60));
}

int SteadyLoad::countCut() const
{
    int cut = 0;
    for (const Sent &sent : m_sent) {
        const int length = answerLength(AnswerLengths(), promptHash(sent.prompt), m_maxTokens);
        const bool own = sent.stream->isWhole() && sent.stream->tokenCount() == length
            && checkAnswer(sent.prompt, sent.stream->answer().texts()) == AnswerFault::None;
        if (own)
            continue;
        ++cut;
        std::fprintf(stderr, "cut: \"%s\" through vm%d: status %d, %d of %d tokens, %s\n",
                     qPrintable(sent.prompt), sent.daemon, sent.stream->status(),
                     sent.stream->tokenCount(), length,
                     sent.stream->response().body.right(ShownBytes).constData());
    }
    return cut;
}

} // namespace cranberry::test
