#pragma once

#include "base/Ids.h"

#include <QHashFunctions>

namespace cranberry {

/// Identifies a group of answers that share a length distribution. An empty workspace stands for
/// all workspaces; an empty workspace and model stand for all of both.
struct LengthKey {
    ServiceId service;
    ModelId model;
    WorkspaceId workspace;

    friend bool operator==(const LengthKey &a, const LengthKey &b)
    {
        return a.service == b.service && a.model == b.model && a.workspace == b.workspace;
    }
    friend size_t qHash(const LengthKey &key, size_t seed = 0)
    {
        return qHashMulti(seed, key.service, key.model, key.workspace);
    }
};

} // namespace cranberry
