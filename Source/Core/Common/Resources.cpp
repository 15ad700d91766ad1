// Arithmetic on resource amounts.
#include "Common/Resources.h"

#include <algorithm>

namespace Common {

Resources& Resources::operator+=(const Resources& other)
{
    slots += other.slots;
    milliCores += other.milliCores;
    memoryMegabytes += other.memoryMegabytes;
    accelerators += other.accelerators;
    return *this;
}

Resources& Resources::operator-=(const Resources& other)
{
    slots = std::max<int64_t>(0, slots - other.slots);
    milliCores = std::max<int64_t>(0, milliCores - other.milliCores);
    memoryMegabytes = std::max<int64_t>(0, memoryMegabytes - other.memoryMegabytes);
    accelerators = std::max<int64_t>(0, accelerators - other.accelerators);
    return *this;
}

bool fits(const Resources& wanted, const Resources& available)
{
    return wanted.slots <= available.slots && wanted.milliCores <= available.milliCores
        && wanted.memoryMegabytes <= available.memoryMegabytes && wanted.accelerators <= available.accelerators;
}

Resources largerOf(const Resources& a, const Resources& b)
{
    return Resources {
        std::max(a.slots, b.slots),
        std::max(a.milliCores, b.milliCores),
        std::max(a.memoryMegabytes, b.memoryMegabytes),
        std::max(a.accelerators, b.accelerators),
    };
}

} // namespace Common
