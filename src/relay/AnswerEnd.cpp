#include "relay/AnswerEnd.h"

#include "http/BodyFraming.h"
#include "http/HttpExchangeEnd.h"

namespace cranberry {

AnswerEnd judgeAnswerEnd(HttpExchangeEnd exchange, bool isInsideEvent)
{
    if (exchange != HttpExchangeEnd::Complete)
        return AnswerEnd::Broken;
    return isInsideEvent ? AnswerEnd::InsideEvent : AnswerEnd::Whole;
}

AnswerEnd judgeAfterStopOrder(AnswerEnd end, BodyFraming framing)
{
    const bool isUnproven = end == AnswerEnd::Whole && framing == BodyFraming::Connection;
    return isUnproven ? AnswerEnd::Stopped : end;
}

const char *answerEndName(AnswerEnd end)
{
    switch (end) {
    case AnswerEnd::Whole:
        return "whole";
    case AnswerEnd::Broken:
        return "broken";
    case AnswerEnd::InsideEvent:
        return "inside_event";
    case AnswerEnd::Stopped:
        return "stopped";
    }
    return "unknown";
}

} // namespace cranberry
