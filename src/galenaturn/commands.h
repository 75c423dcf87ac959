#pragma once

#include "arguments.h"

#include <ostream>

namespace galenaturn::command_line {

/** Output streams of a command. */
struct output {
    std::ostream& results;
    std::ostream& problems;
};

/** Runs the command that `given` names and returns its exit code. */
exit_code run_command(const arguments& given, output out);

/** Commands of `galenaturn catalogue`; `given.words` has the subcommand and its operands. */
exit_code check_catalogue(const arguments& given, output out);
exit_code apply_catalogue(const arguments& given, output out);
exit_code get_catalogue(const arguments& given, output out);
exit_code list_catalogue(const arguments& given, output out);
exit_code show_history(const arguments& given, output out);

/** Commands of `galenaturn task`. */
exit_code start_task(const arguments& given, output out);
exit_code stop_task(const arguments& given, output out);
exit_code cancel_task(const arguments& given, output out);
exit_code show_task(const arguments& given, output out);
exit_code list_tasks(const arguments& given, output out);

/** Status of the processes, and the members and upstreams that they know. */
exit_code show_status(const arguments& given, output out);
exit_code show_members(const arguments& given, output out);
exit_code show_upstreams(const arguments& given, output out);

/** Commands of `galenaturn voter`: list and change the voters of the ledger, for repairs. */
exit_code list_voters(const arguments& given, output out);
exit_code add_voter(const arguments& given, output out);
exit_code promote_voter(const arguments& given, output out);
exit_code remove_voter(const arguments& given, output out);

} // namespace galenaturn::command_line
