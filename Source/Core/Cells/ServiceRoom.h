// Processor time of the workers of a service.
#pragma once

#include "Common/Ids.h"

#include <cstdint>
#include <map>

namespace Cells {

struct ServiceRoom {
    /// In thousandths of a core.
    int64_t capacityMilliCores = 0;
    int64_t freeMilliCores = 0;

    ServiceRoom& operator+=(const ServiceRoom& other)
    {
        capacityMilliCores += other.capacityMilliCores;
        freeMilliCores += other.freeMilliCores;
        return *this;
    }
};

using ServiceRooms = std::map<Common::ServiceName, ServiceRoom>;

} // namespace Cells
