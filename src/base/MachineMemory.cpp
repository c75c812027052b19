#include "base/MachineMemory.h"

#include <sys/sysinfo.h>

namespace cranberry {

std::optional<Bytes> machineMemory()
{
    struct sysinfo info {
    };
    if (::sysinfo(&info) != 0)
        return std::nullopt;
    return Bytes(qint64(info.totalram) * info.mem_unit);
}

} // namespace cranberry
