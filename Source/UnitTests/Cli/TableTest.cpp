// Layout of tables, also with control characters and missing cells.
#include "Cli/Table.h"

#include <doctest/doctest.h>

TEST_CASE("columns are as wide as their widest cell")
{
    CHECK(Cli::renderTable({ "A", "NAME" }, { { "1", "x" }, { "200", "" }, { "é", "z" } })
        == "A    NAME\n1    x\n200  -\né    z\n");
}

TEST_CASE("control characters and short rows do not break a table")
{
    CHECK(Cli::renderTable({ "A", "B" }, { { "a\nb\x1b" } }) == "A     B\na?b?  -\n");
}
