#include "standins/users/PromiseChecks.h"

namespace cranberry::standin {

namespace {

bool isPromise(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

void PromiseChecks::breaks(const QByteArray &id, const QString &what)
{
    Story &story = m_stories[id];
    if (std::exchange(story.isBroken, true))
        return;
    m_broken.append(QStringLiteral("%1: request %2, runs: %3")
                        .arg(what, QString::fromLatin1(id),
                             m_stories.value(id).runs.join(QStringLiteral(", "))));
}

void PromiseChecks::ran(const QByteArray &target, const HttpRequest &request)
{
    const QByteArray id = request.headers.value("Cranberryquay-Request-Id");
    Story &story = m_stories[id];
    story.isIdempotent =
        request.path.startsWith("/safe/") || request.path.startsWith("/fragile-safe/");
    // A generation that goes on from its own copy is the same run.
    const bool goesOn = request.headers.contains("Kv-From");
    if (!goesOn && !story.isIdempotent && !story.runs.isEmpty())
        breaks(id, QStringLiteral("ran twice"));
    if (!story.isIdempotent && story.wasPromised)
        breaks(id, QStringLiteral("ran after it was said not to have run"));
    if (request.headers.value("Cranberryquay-Tenant") != "house")
        breaks(id, QStringLiteral("ran without its workspace"));
    story.runs.append(QString::fromLatin1(target));
}

void PromiseChecks::answered(const QByteArray &id, const HttpResponse &response, bool isWhole)
{
    ++m_answers;
    Story &story = m_stories[id];
    if (isPromise(response.status)) {
        story.wasPromised = true;
        if (!story.isIdempotent && !story.runs.isEmpty())
            breaks(id, QStringLiteral("said not to have run, though it had"));
    }
    if (response.status != 200)
        return;
    const bool isOwn = response.headers.value("Cranberryquay-Request-Id") == id;
    if (!isOwn)
        breaks(id,
               QStringLiteral("got another request's answer, of id \"%1\", whole %2, body \"%3\"")
                   .arg(QString::fromLatin1(response.headers.value("Cranberryquay-Request-Id")))
                   .arg(isWhole)
                   .arg(QString::fromLatin1(response.body.left(40))));
    const bool isStream = response.body.startsWith("id: ");
    if (isStream) {
        const QList<QByteArray> events = response.body.split('\n');
        int next = 1;
        for (const QByteArray &line : events) {
            if (line.startsWith("id: ") && line != "id: " + QByteArray::number(next++))
                breaks(id, QStringLiteral("an event is missing or came twice"));
        }
        if (isWhole && response.body != m_expectedStream)
            breaks(id, QStringLiteral("the stream is framed as complete and is not"));
    } else if (isWhole && response.body != "answer to body of " + id
               && response.body != "answer to ") {
        breaks(id, QStringLiteral("the body is not the target's"));
    }
    m_whole += isWhole ? 1 : 0;
}

} // namespace cranberry::standin
