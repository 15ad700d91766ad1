// The fencing tokens that one owner of a cell sends to workers.
#pragma once

#include "Cells/CellId.h"

#include <cstdint>

namespace Cells {

/// Each life of a worker gets a token of its own, higher than all that were sent to its former lives: once the new life
/// has received it, the worker refuses what was meant for a former one. So does each group of orders that is sent
/// beside an acknowledgement. The cell's record names the last token of the range, so those of a successor are higher,
/// also of one of an earlier release, which takes the number after the recorded one.
class TokenRange {
public:
    /// The range that ends with a token of a cell's record.
    explicit TokenRange(FencingToken last);

    /// The last token of the owner that follows the one whose record names `former`; a value of 0 stands for none.
    static FencingToken lastAfter(FencingToken former);

    /// A token higher than all that were taken before; the last one again when none is left.
    FencingToken take();

private:
    /// Ranges begin at multiples of this, which leaves room for 2^21 changes of owner below 2^53. A cell of 20 workers
    /// that takes a token a second for each has enough for six years.
    static constexpr uint64_t size = UINT64_C(1) << 32U;

    FencingToken m_next;
    FencingToken m_last;
};

} // namespace Cells
