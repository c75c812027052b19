#pragma once

#include "delivery/StallThreshold.h"

namespace cranberry {

class ClaimService;
class HttpClient;
class TargetCancels;
class TargetSource;
class TimerService;

/// Monotonic event counters of delivery, for the metrics.
struct DeliveryCounters {
    qint64 tokensDelivered = 0;
    qint64 tokensDropped = 0;
    qint64 attemptsSent = 0;
    qint64 retries = 0;
    qint64 resumes = 0;
    qint64 generationsLost = 0;
};

/// The services, limits and statistics that all runs share.
/// Precondition: the referenced objects outlive every run.
struct DeliveryContext {
    HttpClient &client;
    TimerService &timers;
    TargetSource &targets;
    TargetCancels &cancels;
    ClaimService &claims;
    StallLimits stallLimits;
    GapStatistics gaps;
    DeliveryCounters counters;
};

} // namespace cranberry
