// Defines the settings of the stand-in target.
#pragma once

#include "standins/target/EngineModel.h"
#include "support/ExpectedText.h"

namespace cranberry::test {

struct TargetSettings {
    bool plain = false;
    bool checkFencing = true;
    int reportLagMs = 100;
    int cacheEventLagMs = 500;
    int plainMs = 20;
    int queueLimit = 1024;
    EngineSettings engine;
    AnswerLengths lengths;
};

} // namespace cranberry::test
