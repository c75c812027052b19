#include "delivery/TargetRequests.h"

#include "delivery/GenerationRequest.h"
#include "http/HttpRequest.h"

#include <QUrl>

namespace cranberry {

HttpRequest attemptRequest(const GenerationRequest &request, const AttemptId &attempt)
{
    HttpRequest result;
    result.method = "POST";
    result.path = request.path;
    result.headers.add("Content-Type", "application/json");
    result.headers.add("Cranberry-Attempt", attempt.text().toUtf8());
    result.headers.add("Cranberry-Cache-Salt", request.cacheSalt);
    result.headers.add("Cranberry-Priority", QByteArray::number(request.priority));
    result.body = request.body;
    return result;
}

HttpRequest resumeRequest(const AttemptId &attempt, qint64 from)
{
    HttpRequest result;
    result.method = "GET";
    result.path = "/generations/" + QUrl::toPercentEncoding(attempt.text());
    result.query.addQueryItem(QStringLiteral("from"), QString::number(from));
    return result;
}

} // namespace cranberry
