// The fleet that most tests of cells begin with.
#pragma once

#include "Cells/CellWorld.h"

#include <optional>

namespace CellTests {

using Outcome = std::optional<Common::Result<Common::Done>>;

/// Three hosts, one cell of eight workers.
struct Fleet : CellWorld {
    explicit Fleet(uint64_t seed = 1)
        : CellWorld(seed)
    {
        addWorkers("yard", 8, 4000);
        for (const char* const name : { "a:1", "b:1", "c:1" })
            addHost("yard", name);
        clock.advance(std::chrono::seconds(8));
    }
    WorldHost* owner()
    {
        for (WorldHost* const host : live()) {
            if (!host->cellOwnership.engines().empty())
                return host;
        }
        return nullptr;
    }
    WorldHost& other()
    {
        for (WorldHost* const host : live()) {
            if (host->cellOwnership.engines().empty())
                return *host;
        }
        return *live().front();
    }
    size_t owners()
    {
        size_t count = 0;
        for (WorldHost* const host : live())
            count += host->cellOwnership.engines().size();
        return count;
    }
};

} // namespace CellTests
