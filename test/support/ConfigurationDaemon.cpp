#include "support/ConfigurationDaemon.h"

#include "support/EventLoop.h"
#include "support/JsonText.h"

namespace cranberry::test {

ConfigurationDaemon::ConfigurationDaemon(std::shared_ptr<MemoryKeyValueTable> table,
                                         TimerService &timers)
    : platform(std::move(table))
    , store(platform, workers, timers)
{
    store.onInForce([this](const std::shared_ptr<const Configuration> &configuration) {
        inForce.append(configuration->version.value());
    });
}

bool ConfigurationDaemon::load()
{
    std::optional<bool> loaded;
    store.load([&](const Result<ConfigurationVersion> &result) { loaded = result.has_value(); });
    return waitFor([&] { return loaded.has_value(); }) && *loaded;
}

SubmitResult ConfigurationDaemon::submit(qint64 expected, const QJsonObject &document)
{
    std::optional<SubmitResult> result;
    store.submit(ConfigurationVersion(expected), document,
                 [&](const SubmitResult &answer) { result = answer; });
    waitFor([&] { return result.has_value(); });
    return result.value_or(SubmitResult());
}

bool ConfigurationDaemon::submitMany(int count)
{
    for (int i = 0; i < count; ++i) {
        const qint64 version = store.version().value();
        const SubmitResult result = submit(version, smallDocument(int(version) + 1));
        if (result.outcome != SubmitOutcome::Accepted)
            return false;
    }
    return true;
}

QJsonObject smallDocument(int maxTokens)
{
    QJsonObject document = jsonObject(R"({"services": {"s": {"kind": "model"}}})");
    const QJsonObject model{{"service", "s"}, {"version", "1"}, {"max_tokens", maxTokens}};
    document.insert(QStringLiteral("models"), QJsonObject{{"m", model}});
    return document;
}

} // namespace cranberry::test
