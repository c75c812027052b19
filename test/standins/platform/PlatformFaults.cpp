#include "standins/platform/PlatformFaults.h"

#include <QJsonObject>

namespace cranberry::standin {

PlatformFaults changedFaults(PlatformFaults faults, const QJsonObject &change)
{
    faults.down = change["down"].toBool(faults.down);
    faults.delay = Milliseconds(change["delay_ms"].toInt(int(faults.delay.count())));
    faults.loseAnswers = change["lose_answers"].toInt(faults.loseAnswers);
    faults.loseAnswersUnder = change["lose_answers_under"].toString(faults.loseAnswersUnder);
    faults.vmListLag = Milliseconds(change["vm_list_lag_ms"].toInt(int(faults.vmListLag.count())));
    return faults;
}

QJsonObject toJson(const PlatformFaults &faults)
{
    return {{"down", faults.down},
            {"delay_ms", int(faults.delay.count())},
            {"lose_answers", faults.loseAnswers},
            {"lose_answers_under", faults.loseAnswersUnder},
            {"vm_list_lag_ms", int(faults.vmListLag.count())}};
}

} // namespace cranberry::standin
