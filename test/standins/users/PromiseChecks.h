// Defines PromiseChecks, what the soak holds daemons to, from what callers and targets see.
#pragma once

#include "http/HttpRequest.h"
#include "http/HttpResponse.h"

#include <QHash>
#include <QStringList>

namespace cranberry::standin {

/// Thread safety: none; one event loop.
class PromiseChecks
{
public:
    /// Every whole stream must be exactly @p body.
    void expectStreams(const QByteArray &body) { m_expectedStream = body; }
    /// A target began to run @p request.
    void ran(const QByteArray &target, const HttpRequest &request);
    /// A caller has its final answer, or the connection ended (status 0).
    void answered(const QByteArray &id, const HttpResponse &response, bool isWhole);

    /// One line for each broken promise, with the request's story.
    const QStringList &broken() const { return m_broken; }
    int answers() const { return m_answers; }
    int wholeAnswers() const { return m_whole; }

private:
    struct Story {
        QStringList runs;
        bool isIdempotent = false;
        bool wasPromised = false;
        /// Told once for each request.
        bool isBroken = false;
    };

    void breaks(const QByteArray &id, const QString &what);

    QHash<QByteArray, Story> m_stories;
    QStringList m_broken;
    QByteArray m_expectedStream;
    int m_answers = 0;
    int m_whole = 0;
};

} // namespace cranberry::standin
