// Ranges of fencing tokens.
#include "Cells/TokenRange.h"

#include <algorithm>

namespace Cells {

TokenRange::TokenRange(FencingToken last)
    : m_next { last.value - last.value % size }
    , m_last(last)
{
}

FencingToken TokenRange::lastAfter(FencingToken former)
{
    const uint64_t begin = (former.value / size + 1) * size;
    return FencingToken { begin + size - 1 };
}

FencingToken TokenRange::take()
{
    const FencingToken taken = std::min(m_next, m_last);
    m_next = FencingToken { taken.value + 1 };
    return taken;
}

} // namespace Cells
