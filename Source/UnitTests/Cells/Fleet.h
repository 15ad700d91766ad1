// The fleet that most tests of cells use.
#pragma once

#include "Cells/CellWorld.h"

#include <optional>

namespace CellTests {

using Outcome = std::optional<Common::Result<Common::Done>>;

/// Three hosts and one cell with eight workers; the constructor waits until the cell has an owner.
struct Fleet : CellWorld {
    explicit Fleet(uint64_t seed = 1)
        : CellWorld(seed)
    {
        addWorkers("yard", 8, 4000);
        for (const char* const name : { "a:1", "b:1", "c:1" })
            addHost("yard", name);
        clock.advance(std::chrono::seconds(8));
    }
    /// The host that owns the cell; null when there is none.
    WorldHost* owner()
    {
        for (WorldHost* const host : live()) {
            if (!host->cellOwnership.engines().empty())
                return host;
        }
        return nullptr;
    }
    /// A live host that doesn't own the cell; the first live host when there is none.
    WorldHost& other()
    {
        for (WorldHost* const host : live()) {
            if (host->cellOwnership.engines().empty())
                return *host;
        }
        return *live().front();
    }
    /// Number of cells that live hosts hold, a cell counted once for each of its holders.
    size_t owners()
    {
        size_t count = 0;
        for (WorldHost* const host : live())
            count += host->cellOwnership.engines().size();
        return count;
    }
};

} // namespace CellTests
