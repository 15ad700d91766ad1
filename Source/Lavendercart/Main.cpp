// The command-line tool's entry point.
#include "Cli/Program.h"

int main(int argc, char** argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    return static_cast<int>(Cli::runProgram(words));
}
