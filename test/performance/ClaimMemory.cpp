// Measures what the claims within retention cost: bytes a claim in the platform's service and in
// a daemon that knows its sealed segment, and the time to decode it. Usage: bench-ClaimMemory
// CLAIMS [SEGMENT]
#include "claims/ClaimSettings.h"
#include "claims/SealedClaims.h"

#include <QCryptographicHash>
#include <QElapsedTimer>
#include <QUuid>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <vector>

#include <unistd.h>

using namespace cranberry;

namespace {

constexpr qint64 SomeTimeMs = 1'790'000'000'000;

qint64 residentBytes()
{
    std::ifstream file("/proc/self/statm");
    qint64 total = 0;
    qint64 resident = 0;
    file >> total >> resident;
    return resident * sysconf(_SC_PAGESIZE);
}

Claim someClaim()
{
    const QString attempt = QUuid::createUuid().toString(QUuid::WithoutBraces);
    const QByteArray hash =
        QCryptographicHash::hash(attempt.toLatin1(), QCryptographicHash::Sha256);
    return {hash, hash, AttemptId(attempt), VmId(QStringLiteral("entry-0042")), SomeTimeMs};
}

} // namespace

int main(int argc, char *argv[])
{
    if (argc < 2) {
        std::fprintf(stderr, "usage: %s CLAIMS [SEGMENT]\n", argv[0]);
        return 2;
    }
    const int claims = std::atoi(argv[1]);
    const int segmentSize = argc > 2 ? std::atoi(argv[2]) : ClaimSettings().maxSegmentClaims;
    std::vector<QByteArray> values;
    qint64 encodedBytes = 0;
    for (int done = 0; done < claims; done += segmentSize) {
        ClaimSegment segment;
        for (int i = 0; i < segmentSize; ++i)
            segment.claims.append(someClaim());
        values.push_back(encodeSegment(segment));
        encodedBytes += values.back().size();
    }
    const auto segments = qint64(values.size());
    const qint64 count = segments * segmentSize;
    const qint64 before = residentBytes();
    QElapsedTimer elapsed;
    elapsed.start();
    SealedClaims known;
    for (qint64 i = 0; i < segments; ++i) {
        const auto segment = decodeSegment(values[size_t(i)]);
        if (segment)
            known.insert({i, Revision(i + 1), SomeTimeMs}, Revision(i + 1), *segment);
    }
    const double microseconds = double(elapsed.nsecsElapsed()) / 1000;
    std::printf("claims=%lld segment=%d service_bytes/claim=%.0f daemon_bytes/claim=%.0f "
                "decode_us/claim=%.2f\n",
                static_cast<long long>(count), segmentSize, double(encodedBytes) / double(count),
                double(residentBytes() - before) / double(count), microseconds / double(count));
    return 0;
}
