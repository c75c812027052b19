#include "configuration/ConfigurationState.h"

#include "configuration/ConfigurationDocument.h"

namespace cranberry {

namespace {

// Whoever accepted a document found it valid. A daemon of an older build may not: it goes on
// with the last version that it can read and says so, instead of serving nothing.
void take(ConfigurationState &state, Result<Configuration> read)
{
    state.fault.clear();
    if (read.has_value())
        state.configuration = std::make_shared<const Configuration>(std::move(read).value());
    else
        state.fault = read.error().detail;
}

} // namespace

ConfigurationState stateWithDocument(const ConfigurationState &state, ConfigurationVersion version,
                                     const QJsonObject &document)
{
    ConfigurationState next = state;
    next.version = version;
    next.document = document;
    take(next, configurationFromDocument(document, version));
    return next;
}

ConfigurationState stateAfter(const ConfigurationState &state,
                              const QList<ConfigurationChange> &changes)
{
    ConfigurationState next = state;
    for (const ConfigurationChange &change : changes) {
        const bool isWhole = next.configuration && next.configuration->version == next.version;
        next.document = mergePatch(next.document, change.patch);
        next.version = change.version;
        take(next,
             isWhole ? configurationAfterPatch(*next.configuration, next.document, change.patch,
                                               change.version)
                     : configurationFromDocument(next.document, change.version));
    }
    return next;
}

} // namespace cranberry
