#include "commands.h"

#include <cstdlib>
#include <exception>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace galenaturn;
    using namespace galenaturn::command_line;
    const std::vector<std::string> words{argv + 1, argv + argc};
    const auto* environment = std::getenv("GALENATURN_ENTRIES");
    findings found;
    const auto given =
        parse_arguments(words, environment == nullptr ? "" : environment, wall_now(), found);
    if (given.flags.help || words.empty()) {
        std::cout << usage_text();
        return static_cast<int>(words.empty() ? exit_code::bad_usage : exit_code::ok);
    }
    if (given.flags.version) {
        std::cout << "galenaturn " GALENATURN_VERSION "\n";
        return static_cast<int>(exit_code::ok);
    }
    if (!found.empty()) {
        for (const auto& item : found.items())
            std::cerr << "galenaturn: " << item.problem << "; " << item.fix << '\n';
        return static_cast<int>(exit_code::bad_usage);
    }
    try {
        return static_cast<int>(run_command(given, {std::cout, std::cerr}));
    }
    catch (const std::exception& error) {
        std::cerr << "galenaturn: " << error.what() << '\n';
        return static_cast<int>(exit_code::failed);
    }
}
