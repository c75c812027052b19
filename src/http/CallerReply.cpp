#include "http/CallerReply.h"

#include "http/CallerConnection.h"
#include "http/HttpResponse.h"

namespace cranberry {

CallerReply::CallerReply(std::weak_ptr<CallerConnection> connection, quint64 requestNumber)
    : m_connection(std::move(connection))
    , m_requestNumber(requestNumber)
{
}

std::shared_ptr<CallerConnection> CallerReply::connection() const
{
    const std::shared_ptr<CallerConnection> connection = m_connection.lock();
    return connection && connection->isAnswering(m_requestNumber) ? connection : nullptr;
}

void CallerReply::send(const HttpResponse &response)
{
    if (const auto open = connection())
        open->send(response);
}

void CallerReply::startStream(int status, const HttpHeaders &headers)
{
    if (const auto open = connection())
        open->startStream(status, headers);
}

void CallerReply::write(const QByteArray &data)
{
    if (const auto open = connection())
        open->writeChunk(data);
}

void CallerReply::end()
{
    if (const auto open = connection())
        open->endStream();
}

void CallerReply::endIncomplete()
{
    if (const auto open = connection())
        open->endIncomplete();
}

void CallerReply::abort()
{
    if (const auto open = connection())
        open->abort();
}

void CallerReply::onCallerGone(std::function<void()> callback)
{
    if (const auto open = connection())
        open->onCallerGone(std::move(callback));
}

QByteArray CallerReply::callerAddress() const
{
    const auto open = connection();
    return open ? open->callerAddress() : QByteArray();
}

qsizetype CallerReply::unsentBytes() const
{
    const auto open = connection();
    return open ? open->unsentBytes() : 0;
}

} // namespace cranberry
