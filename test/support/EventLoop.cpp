#include "support/EventLoop.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QThread>

namespace cranberry::test {

void ensureApplication()
{
    static int argumentCount = 1;
    static char programName[] = "test";
    static char *arguments[] = {programName, nullptr};
    if (!QCoreApplication::instance())
        new QCoreApplication(argumentCount, arguments);
}

bool waitFor(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    QElapsedTimer elapsed;
    elapsed.start();
    while (!condition()) {
        if (elapsed.elapsed() > limit.count())
            return false;
        QCoreApplication::processEvents(QEventLoop::AllEvents, 20);
        QThread::usleep(200);
    }
    return true;
}

} // namespace cranberry::test
