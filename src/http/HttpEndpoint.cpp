#include "http/HttpEndpoint.h"

#include <QHostAddress>
#include <QUrl>

namespace cranberry {

std::optional<HttpEndpoint> parseEndpoint(const QString &url)
{
    const QUrl parsed(url, QUrl::StrictMode);
    const bool hasOtherParts = !parsed.userInfo().isEmpty() || parsed.hasQuery()
        || parsed.hasFragment()
        || (!parsed.path().isEmpty() && parsed.path() != QLatin1String("/"));
    if (!parsed.isValid() || parsed.scheme() != QLatin1String("http") || hasOtherParts)
        return std::nullopt;
    if (QHostAddress(parsed.host()).isNull() || parsed.port() < 1)
        return std::nullopt;
    return HttpEndpoint{parsed.host(), static_cast<quint16>(parsed.port())};
}

} // namespace cranberry
