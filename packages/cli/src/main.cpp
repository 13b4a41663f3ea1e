#include "apricotrock/cli.h"

#include <iostream>

int main(int argc, char **argv)
{
    using namespace apricotrock::cli;
    const std::vector<std::string> arguments(argv + (argc > 0 ? 1 : 0), argv + argc);
    try {
        const Environment environment = networkEnvironment(std::cout, std::cerr, std::cin);
        const ExitCode code = runCommand(arguments, environment);
        std::cout.flush();
        if (!std::cout) {
            std::cerr << "apricotrock: cannot write the output; check the free space\n";
            return static_cast<int>(ExitCode::Refused);
        }
        return static_cast<int>(code);
    } catch (const std::exception &error) {
        std::cerr << "apricotrock: " << error.what() << "; please report this fault\n";
        return static_cast<int>(ExitCode::Refused);
    }
}
