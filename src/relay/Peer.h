// Defines Peer, another daemon of the fleet.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "http/HttpEndpoint.h"

namespace cranberry {

struct Peer {
    VmId vm;
    DataCentreId dataCentre;
    /// Where it takes datagrams and answers other daemons.
    HttpEndpoint endpoint;
    /// When it was first heard of.
    MonotonicTime since;
    /// When the store last listed it or it was last heard.
    MonotonicTime seen;
    /// When a message of it last came.
    MonotonicTime heard;
    /// Version of the configuration that it has.
    qint64 version = 0;
    /// It is about to end and represents nobody any more.
    bool isDraining = false;
};

} // namespace cranberry
