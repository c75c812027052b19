#include "configuration/ConfigurationState.h"

#include "configuration/ConfigurationDocument.h"

namespace cranberry {

namespace {

// Documents are validated before they are accepted, but an older build may not be able to read a
// document from a newer one. It keeps the last configuration that it could read and reports the
// error, so that it continues to serve requests.
void setConfiguration(ConfigurationState &state, Result<Configuration> read)
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
    setConfiguration(next, configurationFromDocument(document, version));
    return next;
}

ConfigurationState stateAfter(const ConfigurationState &state,
                              const QList<ConfigurationChange> &changes)
{
    ConfigurationState next = state;
    for (const ConfigurationChange &change : changes) {
        const bool isUpToDate = next.configuration && next.configuration->version == next.version;
        next.document = mergePatch(next.document, change.patch);
        next.version = change.version;
        setConfiguration(next,
                         isUpToDate ? configurationAfterPatch(*next.configuration, next.document,
                                                              change.patch, change.version)
                                    : configurationFromDocument(next.document, change.version));
    }
    return next;
}

} // namespace cranberry
