#include "support/StandinProcess.h"

#include "base/TimerSubscription.h"
#include "support/EventLoop.h"

#include <boost/test/unit_test.hpp>

#include <QJsonDocument>

#include <csignal>

namespace cranberry::test {

StandinProcess::StandinProcess(const QString &name, const QStringList &arguments)
{
    ensureApplication();
    m_process.setProcessChannelMode(QProcess::ForwardedErrorChannel);
    m_process.start(QStringLiteral(CRANBERRY_PROGRAM_DIRECTORY "/standin-%1").arg(name),
                    QStringList{"--port", "0"} + arguments);
    BOOST_REQUIRE(waitFor([this] { return m_process.canReadLine(); }));
    const QByteArray ready = m_process.readLine().trimmed();
    const QByteArray announcement = "ready port=";
    BOOST_REQUIRE(ready.startsWith(announcement));
    m_port = ready.mid(announcement.size()).toUShort();
}

StandinProcess::~StandinProcess()
{
    m_process.kill();
    m_process.waitForFinished();
}

QJsonObject StandinProcess::setFaults(const QJsonObject &faults)
{
    return call("POST", "/faults", faults);
}

QJsonObject StandinProcess::call(const QByteArray &method, const QByteArray &path,
                                 const QJsonObject &body)
{
    bool finished = false;
    QJsonObject answer;
    const HttpRequest request{
        method, path, {}, {}, QJsonDocument(body).toJson(QJsonDocument::Compact)};
    const auto exchange =
        m_client.fetch(endpoint(), request, {}, [&](HttpExchangeEnd, const HttpResponse &response) {
            answer = QJsonDocument::fromJson(response.body).object();
            finished = true;
        });
    BOOST_REQUIRE(waitFor([&] { return finished; }));
    return answer;
}

void StandinProcess::pause()
{
    ::kill(pid_t(m_process.processId()), SIGSTOP);
}

void StandinProcess::resume()
{
    ::kill(pid_t(m_process.processId()), SIGCONT);
}

} // namespace cranberry::test
