// An owner whose stalls are longer than the timeouts of its calls to the store.
#include "Cells/LateOwner.h"

#include <doctest/doctest.h>

using namespace CellTests;

TEST_CASE("an owner that reads the store's answers late starts tasks again whose worker it can't reach")
{
    checkTasksAreStartedAgain(900ms);
}
