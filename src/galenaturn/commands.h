#pragma once

#include "arguments.h"

#include <ostream>

namespace galenaturn::command_line {

/** Where a command writes: results and problems. */
struct output {
    std::ostream& results;
    std::ostream& problems;
};

/** Carries out what `given` says and returns how the program ends. */
exit_code run_command(const arguments& given, output out);

/** The commands below `galenaturn catalogue`; `given.words` holds subcommand and operands. */
exit_code check_catalogue(const arguments& given, output out);
exit_code apply_catalogue(const arguments& given, output out);
exit_code get_catalogue(const arguments& given, output out);
exit_code list_catalogue(const arguments& given, output out);
exit_code show_history(const arguments& given, output out);

/** The commands below `galenaturn task`. */
exit_code start_task(const arguments& given, output out);
exit_code stop_task(const arguments& given, output out);
exit_code cancel_task(const arguments& given, output out);
exit_code show_task(const arguments& given, output out);
exit_code list_tasks(const arguments& given, output out);

/** What the processes say of themselves and of others. */
exit_code show_status(const arguments& given, output out);
exit_code show_members(const arguments& given, output out);
exit_code show_upstreams(const arguments& given, output out);

/** The voters of the ledger, for repairs. */
exit_code list_voters(const arguments& given, output out);
exit_code add_voter(const arguments& given, output out);
exit_code promote_voter(const arguments& given, output out);
exit_code remove_voter(const arguments& given, output out);

} // namespace galenaturn::command_line
