// Defines the faults that a test can put into the stand-in target.
#pragma once

#include <QJsonObject>
#include <QString>

namespace cranberry::test {

/// In force until changed. Members of a POST /faults change, others stay.
struct TargetFaults {
    /// The process exits at once when a prompt with this text starts; empty is off.
    QString dieOn;
    /// Links of first sends go silent, open, after this many tokens; 0 is off. Resumed
    /// streams are not touched.
    int stallAfter = 0;
    /// The next N resumed streams go silent, open, before their first event.
    int stallResumes = 0;
    /// The next N requests are neither run nor answered, as if they were lost on the way.
    int swallow = 0;
    /// Factor on the duration of every step.
    double slowFactor = 1.0;
    /// GET /load says that the target leaves; it still takes what it is sent.
    bool leaving = false;
    /// New requests get 503 with "started" false, and with "leaving" true if it leaves.
    bool refuse = false;
    /// The next N requests run, but their connection is reset before the answer.
    int resetBeforeAnswer = 0;
    /// Every fourth token is preceded by one of another attempt with the same number.
    bool wrongAttempt = false;
    int reportLagMs = 0;
};

/// Changes @p faults by the members of @p change.
void applyFaults(TargetFaults &faults, const QJsonObject &change);

QJsonObject toJson(const TargetFaults &faults);

} // namespace cranberry::test
