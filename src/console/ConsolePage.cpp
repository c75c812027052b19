#include "console/ConsolePage.h"

#include <QFile>

#include <array>

/// Registers the console's Qt resource. The library is static, so without this call the linker
/// drops the resource. The macro works in the global namespace only.
static void initializeConsoleResource()
{
    Q_INIT_RESOURCE(console);
}

namespace cranberry {

namespace {

struct ConsoleFile {
    const char *path;
    const char *resource;
    const char *contentType;
};

constexpr std::array<ConsoleFile, 11> ConsoleFiles{{
    {"/console", ":/console/console.html", "text/html; charset=utf-8"},
    {"/console/", ":/console/console.html", "text/html; charset=utf-8"},
    {"/console/console.css", ":/console/console.css", "text/css; charset=utf-8"},
    {"/console/console.js", ":/console/console.js", "text/javascript; charset=utf-8"},
    {"/console/api.js", ":/console/api.js", "text/javascript; charset=utf-8"},
    {"/console/document.js", ":/console/document.js", "text/javascript; charset=utf-8"},
    {"/console/elements.js", ":/console/elements.js", "text/javascript; charset=utf-8"},
    {"/console/forms.js", ":/console/forms.js", "text/javascript; charset=utf-8"},
    {"/console/review.js", ":/console/review.js", "text/javascript; charset=utf-8"},
    {"/console/status.js", ":/console/status.js", "text/javascript; charset=utf-8"},
    {"/console/schema.json", ":/console/schema.json", "application/json"},
}};

/// Allows only the console's own scripts and styles, and forbids framing and form submission. If
/// text from a configuration document or a status is inserted as markup by mistake, no script in
/// it runs.
const char ContentSecurityPolicy[] =
    "default-src 'none'; script-src 'self'; style-src 'self'; connect-src 'self'; "
    "form-action 'none'; base-uri 'none'; frame-ancestors 'none'";

} // namespace

std::optional<HttpResponse> consolePage(const QByteArray &method, const QByteArray &path)
{
    if (method != "GET")
        return std::nullopt;
    initializeConsoleResource();
    for (const ConsoleFile &file : ConsoleFiles) {
        if (path != file.path)
            continue;
        QFile resource(QString::fromLatin1(file.resource));
        if (!resource.open(QIODevice::ReadOnly))
            return std::nullopt;
        const HttpHeaders headers{{"Content-Type", file.contentType},
                                  {"Content-Security-Policy", ContentSecurityPolicy},
                                  {"X-Content-Type-Options", "nosniff"},
                                  {"Referrer-Policy", "no-referrer"},
                                  {"Cache-Control", "no-cache"}};
        return HttpResponse{200, headers, resource.readAll()};
    }
    return std::nullopt;
}

} // namespace cranberry
