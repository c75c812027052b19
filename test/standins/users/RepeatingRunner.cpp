#include "standins/users/RepeatingRunner.h"

namespace cranberry::standin {

RepeatingRunner::RepeatingRunner(QByteArray id)
    : m_runner(std::move(id))
{
    m_runner.setScript([this](const HttpRequest &request) { return answerTo(request); });
}

ScriptedAnswer RepeatingRunner::answerTo(const HttpRequest &request)
{
    if (ScriptedRunner::idOf(request).isEmpty()) {
        ++m_calls;
        ScriptedAnswer answer;
        (m_rejection ? answer.bytes : answer.due) =
            AnswerText{503, {}, true, false, {}, {}}.bytes();
        answer.delay = m_rejection.value_or(std::chrono::milliseconds(0));
        return answer;
    }
    const AnswerTimes times = m_times ? m_times(request) : AnswerTimes();
    ScriptedAnswer answer = ScriptedRunner::run(request);
    answer.delay = times.answer;
    if (!times.isRepeated)
        return answer;
    ++m_repeats;
    answer.lateDelay = times.repeat.value_or(std::chrono::milliseconds(0));
    (times.repeat ? answer.late : answer.due) = answer.bytes;
    return answer;
}

} // namespace cranberry::standin
