#include "commands.h"

#include <algorithm>
#include <functional>

namespace galenaturn::command_line {

namespace {

struct subcommand {
    std::vector<std::string> words;
    std::size_t operands;
    std::function<exit_code(const arguments&, output)> action;
};

const std::vector<subcommand>& subcommands()
{
    static const std::vector<subcommand> all{
        {{"catalogue", "check"}, 1, check_catalogue},
        {{"catalogue", "apply"}, 1, apply_catalogue},
        {{"catalogue", "get"}, 0, get_catalogue},
        {{"catalogue", "list"}, 0, list_catalogue},
        {{"catalogue", "history"}, 0, show_history},
        {{"task", "start"}, 1, start_task},
        {{"task", "stop"}, 1, stop_task},
        {{"task", "cancel"}, 1, cancel_task},
        {{"task", "show"}, 1, show_task},
        {{"task", "list"}, 0, list_tasks},
        {{"status"}, 0, show_status},
        {{"members"}, 0, show_members},
        {{"upstreams"}, 0, show_upstreams},
        {{"voter", "list"}, 0, list_voters},
        {{"voter", "add"}, 1, add_voter},
        {{"voter", "promote"}, 1, promote_voter},
        {{"voter", "remove"}, 1, remove_voter},
    };
    return all;
}

bool begins_with(const std::vector<std::string>& words, const std::vector<std::string>& start)
{
    return words.size() >= start.size() && std::equal(start.begin(), start.end(), words.begin());
}

std::string joined(const std::vector<std::string>& words)
{
    std::string text;
    for (const auto& word : words)
        text += (text.empty() ? "" : " ") + word;
    return text;
}

} // namespace

exit_code run_command(const arguments& given, output out)
{
    for (const auto& candidate : subcommands()) {
        if (!begins_with(given.words, candidate.words))
            continue;
        const auto operands = given.words.size() - candidate.words.size();
        if (operands == candidate.operands)
            return candidate.action(given, out);
        out.problems << "galenaturn: '" << joined(candidate.words) << "' takes "
                     << candidate.operands << " operand(s), not " << operands
                     << "; see galenaturn --help\n";
        return exit_code::bad_usage;
    }
    out.problems << "galenaturn: unknown command '" << joined(given.words)
                 << "'; see galenaturn --help\n";
    return exit_code::bad_usage;
}

} // namespace galenaturn::command_line
