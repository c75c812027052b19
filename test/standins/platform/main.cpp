// The stand-in of the platform: a key-value service and a list of VMs.
#include "base/QtTimerService.h"
#include "http/HttpRequest.h"
#include "http/HttpResponder.h"
#include "http/HttpServer.h"
#include "standins/platform/PlatformService.h"

#include <QCoreApplication>

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_int32(port, 0, "port to listen on at 127.0.0.1; 0 takes a free one");

int main(int argc, char *argv[])
{
    using namespace cranberry;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const QCoreApplication application(argc, argv);
    QtTimerService timers;
    standin::PlatformService service(timers);
    HttpServer server(
        timers, HttpServerLimits(),
        [&service](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
            service.handle(request, responder);
        });
    const auto port = server.listenOn(QHostAddress::LocalHost, static_cast<quint16>(FLAGS_port));
    if (!port) {
        std::fprintf(stderr, "%s\n", qPrintable(port.error().detail));
        return 1;
    }
    std::printf("ready port=%d\n", int(port.value()));
    std::fflush(stdout);
    return QCoreApplication::exec();
}
