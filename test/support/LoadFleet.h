// Defines LoadFleet, daemons of several data centres that tell each other their loads.
#pragma once

#include "base/QtTimerService.h"
#include "http/HttpClient.h"
#include "relay/DataCentreHeads.h"
#include "relay/FleetAdmission.h"
#include "relay/LimitExchange.h"
#include "relay/LoadExchange.h"
#include "relay/PeerDatagrams.h"
#include "relay/PeerDirectory.h"
#include "relay/RelayCounters.h"
#include "relay/StoreProtocol.h"
#include "relay/TargetDirectory.h"
#include "relay/TargetLimits.h"
#include "relay/TargetSpeeds.h"

#include <functional>
#include <memory>
#include <vector>

namespace cranberry::test {

/// The parts of a daemon that exchange loads and demand, with a socket of their own. Admission
/// control knows the services of the targets.
struct LoadDaemon {
    LoadDaemon(QtTimerService &timers, HttpClient &client, const Peer &self);

    StoreProtocol protocol;
    RelayCounters counters;
    TargetDirectory targets;
    PeerDirectory peers;
    PeerDatagrams datagrams;
    DataCentreHeads heads;
    TargetSpeeds speeds;
    LoadExchange loads;
    TargetLimits limits;
    LimitExchange limitExchange;
    FleetAdmission admission;
    /// What admission control reports as waiting here.
    QList<FleetAdmission::Waiting> waiting;
};

/// All know each other, as if the store had listed them, and the targets engine-N and plain-N of
/// each data centre N. One process, datagrams over 127.0.0.1.
/// Thread safety: only from its own thread.
class LoadFleet
{
public:
    LoadFleet(int dataCentres, int each);
    ~LoadFleet();

    LoadDaemon &daemon(int dataCentre, int index);
    /// True if @p condition holds for every daemon that lives.
    bool all(const std::function<bool(const LoadDaemon &daemon)> &condition) const;
    /// Each data centre's heads are known in all others.
    bool headsAreKnown() const;
    /// Ends one daemon; daemon() must not be called for it after that.
    void kill(int dataCentre, int index);
    /// Ends the heads of @p dataCentre.
    void killHeads(int dataCentre);

private:
    struct Application {
        Application();
    } m_application;
    int m_each;
    QtTimerService m_timers;
    HttpClient m_client{m_timers};
    std::vector<std::unique_ptr<LoadDaemon>> m_daemons;
};

} // namespace cranberry::test
