#include "support/Fleet.h"

#include "support/EventLoop.h"
#include "support/ExpectedText.h"
#include "support/FleetStream.h"

#include <QCryptographicHash>
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>

#include <cstdio>

namespace cranberry::test {

namespace {

const char OperatorToken[] = "operator-token-of-a-test-fleet";
const char PeerSecret[] = "peer-secret-of-a-test-fleet";
const QString LocalAddress = QStringLiteral("127.0.0.1");

QString indexed(const char *name, int index)
{
    return QString::fromLatin1(name) + QString::number(index);
}

QString urlOf(const HttpEndpoint &endpoint)
{
    return QStringLiteral("http://%1:%2").arg(endpoint.address).arg(endpoint.port);
}

QJsonObject merged(QJsonObject base, const QJsonObject &over)
{
    for (auto member = over.begin(); member != over.end(); ++member) {
        const QJsonValue old = base.value(member.key());
        if (old.isObject() && member->isObject())
            base.insert(member.key(), merged(old.toObject(), member->toObject()));
        else
            base.insert(member.key(), *member);
    }
    return base;
}

} // namespace

Fleet::Fleet(const FleetPlan &plan)
    : m_plan(plan)
{
}

Fleet::~Fleet()
{
    // Daemons go first: they would log the loss of everything else.
    m_daemons.clear();
}

bool Fleet::start()
{
    if (!writeFile(QStringLiteral("token"), OperatorToken)
        || !writeFile(QStringLiteral("secret"), PeerSecret)) {
        return false;
    }
    m_platform = startPlatform(0);
    for (int i = 0; i < m_plan.engines; ++i)
        m_engines.push_back(startTarget(indexed("engine", i), 0, m_plan.engineFlags));
    for (int i = 0; i < m_plan.plainServices; ++i) {
        m_plains.push_back(startTarget(indexed("plain", i), 0,
                                       m_plan.plainFlags + QStringList{QStringLiteral("--plain")}));
    }
    bool ready = m_platform->waitReady();
    for (const auto &engine : m_engines)
        ready = engine->waitReady() && ready;
    for (const auto &plain : m_plains)
        ready = plain->waitReady() && ready;
    if (!ready)
        return false;
    for (int i = 0; i < m_plan.daemons; ++i)
        m_daemons.push_back(startDaemon(i));
    for (const auto &daemon : m_daemons)
        ready = daemon->waitReady() && ready;
    return ready && publishVms() && apply(document()) >= 0;
}

std::unique_ptr<FleetProcess> Fleet::startTarget(const QString &name, quint16 port,
                                                 const QStringList &flags)
{
    const QStringList arguments =
        QStringList{QStringLiteral("--port"), QString::number(port)} + flags;
    return std::make_unique<FleetProcess>(QStringLiteral("standin-target"), arguments,
                                          outputName(name));
}

std::unique_ptr<FleetProcess> Fleet::startPlatform(quint16 port)
{
    const QStringList arguments =
        QStringList{QStringLiteral("--port"), QString::number(port)} + m_plan.platformFlags;
    return std::make_unique<FleetProcess>(QStringLiteral("standin-platform"), arguments,
                                          outputName(QStringLiteral("platform")));
}

std::unique_ptr<FleetProcess> Fleet::startDaemon(int index)
{
    const QString vm = indexed("vm", index);
    const QJsonObject listen{{QStringLiteral("address"), LocalAddress},
                             {QStringLiteral("port"), 0}};
    QJsonObject peer = listen;
    peer.insert(QStringLiteral("secret_file"), pathOf(QStringLiteral("secret")));
    const QJsonObject settings{
        {QStringLiteral("vm"), vm},
        {QStringLiteral("data_centre"), dataCentre(index)},
        {QStringLiteral("gateway"), listen},
        {QStringLiteral("peer"), peer},
        {QStringLiteral("platform"),
         QJsonObject{{QStringLiteral("url"), urlOf(platformEndpoint())}}},
        {QStringLiteral("operator_token_file"), pathOf(QStringLiteral("token"))},
        {QStringLiteral("log"), QJsonObject{{QStringLiteral("level"), QStringLiteral("info")}}}};
    const QString name = vm + QStringLiteral(".json");
    writeFile(name, QJsonDocument(merged(settings, m_plan.daemonSettings)).toJson());
    return std::make_unique<FleetProcess>(QStringLiteral("cranberryd"),
                                          QStringList{QStringLiteral("--settings"), pathOf(name)},
                                          outputName(vm));
}

bool Fleet::writeFile(const QString &name, const QByteArray &content) const
{
    QFile file(pathOf(name));
    return file.open(QIODevice::WriteOnly) && file.write(content) == content.size();
}

QString Fleet::outputName(const QString &name)
{
    return pathOf(QStringLiteral("%1-%2").arg(name).arg(m_starts++));
}

QString Fleet::dataCentre(int index) const
{
    return indexed("dc", index % std::max(1, m_plan.dataCentres));
}

HttpEndpoint Fleet::platformEndpoint() const
{
    return {LocalAddress, m_platform->port("port")};
}

HttpEndpoint Fleet::engineEndpoint(int index) const
{
    return {LocalAddress, m_engines.at(index)->port("port")};
}

HttpEndpoint Fleet::plainEndpoint(int index) const
{
    return {LocalAddress, m_plains.at(index)->port("port")};
}

HttpEndpoint Fleet::gateway(int index) const
{
    return {LocalAddress, m_daemons.at(index)->port("gateway")};
}

int Fleet::addDaemon()
{
    m_daemons.push_back(startDaemon(daemonCount()));
    return m_daemons.back()->waitReady() ? daemonCount() - 1 : -1;
}

bool Fleet::restartDaemon(int index)
{
    m_daemons.at(index) = startDaemon(index);
    return m_daemons.at(index)->waitReady() && publishVms();
}

bool Fleet::restartEngine(int index)
{
    const quint16 port = m_engines.at(index)->port("port");
    m_engines.at(index) = startTarget(indexed("engine", index), port, m_plan.engineFlags);
    return m_engines.at(index)->waitReady();
}

bool Fleet::restartPlain(int index)
{
    const quint16 port = m_plains.at(index)->port("port");
    m_plains.at(index) = startTarget(indexed("plain", index), port,
                                     m_plan.plainFlags + QStringList{QStringLiteral("--plain")});
    return m_plains.at(index)->waitReady();
}

bool Fleet::restartPlatform()
{
    m_platform = startPlatform(m_platform->port("port"));
    return m_platform->waitReady();
}

bool Fleet::publishVms(const QList<int> &leaving)
{
    QJsonArray vms;
    for (int i = 0; i < daemonCount(); ++i) {
        if (!m_daemons.at(i)->isRunning())
            continue;
        vms.append(QJsonObject{{QStringLiteral("vm"), indexed("vm", i)},
                               {QStringLiteral("data_centre"), dataCentre(i)},
                               {QStringLiteral("address"), LocalAddress},
                               {QStringLiteral("peer_port"), m_daemons.at(i)->port("peer")},
                               {QStringLiteral("leaving"), leaving.contains(i)}});
    }
    return m_client.sendJson(platformEndpoint(), "PUT", "/vms", {{QStringLiteral("vms"), vms}})
        .is(200);
}

QJsonObject Fleet::targetsOfDocument() const
{
    QJsonObject targets;
    for (int i = 0; i < engineCount(); ++i) {
        targets.insert(indexed("engine", i),
                       QJsonObject{{QStringLiteral("service"), QStringLiteral("drafts")},
                                   {QStringLiteral("url"), urlOf(engineEndpoint(i))},
                                   {QStringLiteral("data_centre"), dataCentre(i)},
                                   {QStringLiteral("models"), QJsonArray{QStringLiteral("m1")}}});
    }
    for (int i = 0; i < int(m_plains.size()); ++i) {
        targets.insert(indexed("plain", i),
                       QJsonObject{{QStringLiteral("service"), QStringLiteral("status")},
                                   {QStringLiteral("url"), urlOf(plainEndpoint(i))},
                                   {QStringLiteral("data_centre"), dataCentre(i)}});
    }
    return targets;
}

QJsonObject Fleet::document() const
{
    const QJsonObject drafts =
        merged({{QStringLiteral("kind"), QStringLiteral("model")}}, m_plan.draftsService);
    QJsonObject workspaces;
    for (int i = 0; i < m_plan.workspaces; ++i) {
        const QByteArray key = "key-w" + QByteArray::number(i);
        const QByteArray hash = QCryptographicHash::hash(key, QCryptographicHash::Sha256).toHex();
        workspaces.insert(
            indexed("w", i),
            QJsonObject{{QStringLiteral("key_sha256"), QJsonArray{QString::fromLatin1(hash)}},
                        {QStringLiteral("services"),
                         QJsonArray{QStringLiteral("drafts"), QStringLiteral("status")}}});
    }
    return {{QStringLiteral("services"),
             QJsonObject{{QStringLiteral("drafts"), drafts},
                         {QStringLiteral("status"),
                          QJsonObject{{QStringLiteral("kind"), QStringLiteral("plain")}}}}},
            {QStringLiteral("models"),
             QJsonObject{{QStringLiteral("m1"),
                          QJsonObject{{QStringLiteral("service"), QStringLiteral("drafts")},
                                      {QStringLiteral("version"), QStringLiteral("1")}}}}},
            {QStringLiteral("workspaces"), workspaces},
            {QStringLiteral("targets"), targetsOfDocument()}};
}

HttpHeaders Fleet::caller(int workspace) const
{
    return {{"Authorization", "Bearer key-w" + QByteArray::number(workspace)}};
}

HttpHeaders Fleet::operatorHeaders() const
{
    return {{"Authorization", QByteArray("Bearer ") + OperatorToken}};
}

FleetAnswer Fleet::putDocument(int index, const QJsonObject &document, qint64 version)
{
    HttpHeaders headers = operatorHeaders();
    headers.add("If-Match", '"' + QByteArray::number(version) + '"');
    return m_client.sendJson(gateway(index), "PUT", "/v1/configuration", document, headers);
}

qint64 Fleet::apply(const QJsonObject &document)
{
    for (int i = 0; i < daemonCount(); ++i) {
        if (!m_daemons.at(i)->isRunning())
            continue;
        const qint64 version = std::max<qint64>(0, versionOf(i));
        const FleetAnswer answer = putDocument(i, document, version);
        if (answer.is(200) && waitForVersion(version + 1))
            return version + 1;
        std::fprintf(stderr, "the document was not taken: %d %s\n", answer.response.status,
                     answer.response.body.constData());
        return -1;
    }
    return -1;
}

bool Fleet::waitUntilDaemonsMet()
{
    return waitFor([this] {
        for (int i = 0; i < daemonCount(); ++i) {
            const QJsonObject reported = status(i);
            if (reported.value(QStringLiteral("members")).toArray().size() != daemonCount())
                return false;
        }
        return true;
    });
}

int Fleet::deadEngines()
{
    int dead = 0;
    for (const auto &engine : m_engines)
        dead += !engine->isRunning();
    return dead;
}

bool Fleet::waitForVersion(qint64 version)
{
    return waitFor([&] {
        for (int i = 0; i < daemonCount(); ++i) {
            if (m_daemons.at(i)->isRunning() && versionOf(i) < version)
                return false;
        }
        return true;
    });
}

qint64 Fleet::versionOf(int index)
{
    const FleetAnswer answer = m_client.get(gateway(index), "/v1/configuration", operatorHeaders());
    bool isNumber = false;
    const qint64 version =
        answer.response.headers.value("ETag").replace('"', "").toLongLong(&isNumber);
    return answer.is(200) && isNumber ? version : -1;
}

QJsonObject Fleet::status(int index)
{
    return m_client.get(gateway(index), "/v1/status", operatorHeaders()).json;
}

int Fleet::aliveMembers(int index)
{
    int alive = 0;
    const QJsonArray members = status(index)[QLatin1String("members")].toArray();
    for (const QJsonValue member : members)
        alive += member[QLatin1String("state")].toString() == QLatin1String("alive") ? 1 : 0;
    return alive;
}

bool Fleet::setFaults(const HttpEndpoint &endpoint, const QJsonObject &faults)
{
    return m_client.sendJson(endpoint, "POST", "/faults", faults).is(200);
}

QJsonObject Fleet::runs(const HttpEndpoint &endpoint)
{
    return m_client.get(endpoint, "/runs").json;
}

int Fleet::runsOf(const QString &prompt)
{
    const QString hash = QString::fromUtf8(promptHash(prompt));
    int count = 0;
    for (int i = 0; i < engineCount(); ++i) {
        const QJsonArray runs =
            this->runs(engineEndpoint(i)).value(QLatin1String("runs")).toArray();
        for (const QJsonValue run : runs)
            count += run[QLatin1String("prompt_hash")].toString() == hash ? 1 : 0;
    }
    return count;
}

std::unique_ptr<FleetStream> Fleet::complete(int index, const QString &prompt, int maxTokens,
                                             const HttpHeaders &headers)
{
    const QJsonObject body{{QStringLiteral("model"), QStringLiteral("m1")},
                           {QStringLiteral("prompt"), prompt},
                           {QStringLiteral("max_tokens"), maxTokens},
                           {QStringLiteral("stream"), true}};
    return m_client.post(gateway(index), "/v1/completions", body, headers);
}

} // namespace cranberry::test
