#pragma once

#include <galenaturn/core.h>

#include <string>
#include <vector>

namespace galenaturn::command_line {

/** Exit codes of the program; scripts rely on the numbers. */
enum class exit_code {
    ok = 0,
    failed = 1,
    bad_usage = 2,
    conflict = 3,
    not_found = 4,
    unavailable = 5,
};

/** Validated values of the flags. */
struct options {
    std::vector<ip_endpoint> entries;
    bool json{false};
    bool help{false};
    bool version{false};
    duration timeout{};
    catalogue_version expected;
    bool expected_given{false};
    catalogue_version version_number;
    std::string job;
    /** A time, or a duration from now, which the entry converts to a time. */
    std::string deadline;
    std::string owner;
    std::string author;
    std::string request_id;
    std::int64_t limit{0};
};

/** A parsed command line. */
struct arguments {
    options flags;
    /** Subcommand and operands, in order. */
    std::vector<std::string> words;
};

/**
 * Parses the command line `words`, without the program's name, into flags and operands. The entries
 * are those of --entries, or else `environment_entries`. Adds every problem to `found`. A relative
 * deadline counts from `now`.
 */
arguments parse_arguments(const std::vector<std::string>& words,
                          const std::string& environment_entries, wall_time now, findings& found);

/** Returns the text of --help. */
std::string usage_text();

} // namespace galenaturn::command_line
