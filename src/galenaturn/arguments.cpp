#include "arguments.h"

#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <gflags/gflags.h>

#include <sstream>
#include <utility>

DEFINE_string(entries, "", "Entries to ask, tried in turn: IP:PORT,...");
DEFINE_bool(json, false, "Print JSON");
DEFINE_string(timeout, "15s", "How long to try, over all entries");
DEFINE_string(expect, "", "catalogue apply: the version that the change was made to");
DEFINE_string(version_number, "", "catalogue get: the version to print");
DEFINE_string(job, "", "task start: job of the catalogue");
DEFINE_string(deadline, "", "task start: a time such as 2026-03-05T18:00:00Z or a span such as 2h");
DEFINE_string(owner, "", "task list: only this owner's tasks");
DEFINE_string(author, "", "catalogue apply: who makes the change");
DEFINE_string(request_id, "", "Repeat an earlier command under its id");
DEFINE_string(limit, "100", "Longest list to print");

namespace galenaturn::command_line {

namespace {

constexpr std::int64_t max_limit = 10'000;

void add_finding(findings& found, const std::string& problem, const std::string& fix)
{
    found.add({"command line", 0, 0}, problem, fix);
}

/** Sets the flag `text`. Returns whether its value was taken from the next word, `next`. */
bool set_flag(const std::string& text, const std::string* next, findings& found)
{
    const auto flag_text = text.substr(text.starts_with("--") ? 2 : 1);
    const auto equals = flag_text.find('=');
    const auto name = flag_text.substr(0, equals);
    gflags::CommandLineFlagInfo info;
    if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info)) {
        add_finding(found, "unknown flag '" + text + "'", "see galenaturn --help");
        return false;
    }
    const bool is_switch = info.type == "bool" && equals == std::string::npos;
    if (!is_switch && equals == std::string::npos && next == nullptr) {
        add_finding(found, "'" + text + "' has no value", "write " + text + " VALUE");
        return false;
    }
    const bool takes_next = !is_switch && equals == std::string::npos;
    const auto value = is_switch ? "true" : takes_next ? *next : flag_text.substr(equals + 1);
    if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty())
        add_finding(found, "'" + value + "' is not a valid value of --" + name,
                    "see galenaturn --help");
    return takes_next;
}

std::vector<ip_endpoint> parse_entries(const std::string& text, findings& found)
{
    std::vector<ip_endpoint> entries;
    std::istringstream in{text};
    std::string item;
    while (std::getline(in, item, ',')) {
        if (const auto endpoint = parse_endpoint(item))
            entries.push_back(*endpoint);
        else
            add_finding(found, "'" + item + "' is not the address of an entry",
                        "write an IP address and a port: 10.0.0.1:8080");
    }
    return entries;
}

std::int64_t parse_count(const std::string& flag, const std::string& text, std::int64_t max_count,
                         findings& found)
{
    std::int64_t count{};
    if (boost::conversion::try_lexical_convert(text, count) && count >= 0 && count <= max_count)
        return count;
    add_finding(found, "--" + flag + " is '" + text + "'", "write an integer of at least 0");
    return 0;
}

catalogue_version parse_version(const std::string& flag, const std::string& text, findings& found)
{
    constexpr std::int64_t max_version = std::int64_t{1} << 62;
    if (text.empty())
        return {};
    return catalogue_version{
        static_cast<std::uint64_t>(parse_count(flag, text, max_version, found))};
}

options read_options(const std::string& environment_entries, wall_time now, findings& found)
{
    options flags;
    flags.entries =
        parse_entries(FLAGS_entries.empty() ? environment_entries : FLAGS_entries, found);
    flags.json = FLAGS_json;
    const auto timeout = parse_duration(FLAGS_timeout);
    if (!timeout || *timeout <= duration::zero())
        add_finding(found, "--timeout is '" + FLAGS_timeout + "'", "write a duration such as 15s");
    flags.timeout = timeout.value_or(duration{});
    flags.expected = parse_version("expect", FLAGS_expect, found);
    flags.expected_given = !FLAGS_expect.empty();
    flags.version_number = parse_version("version_number", FLAGS_version_number, found);
    flags.job = FLAGS_job;
    if (!FLAGS_deadline.empty()) {
        const auto deadline = parse_deadline(FLAGS_deadline, now);
        if (!deadline || *deadline <= now)
            add_finding(
                found, "--deadline is '" + FLAGS_deadline + "'",
                "write a time in the future such as 2026-03-05T18:00:00Z or a duration such as 2h");
    }
    flags.deadline = FLAGS_deadline;
    flags.owner = FLAGS_owner;
    flags.author = FLAGS_author;
    flags.request_id = FLAGS_request_id;
    flags.limit = parse_count("limit", FLAGS_limit, max_limit, found);
    return flags;
}

bool flag_set(const char* name)
{
    std::string value;
    return gflags::GetCommandLineOption(name, &value) && value == "true";
}

} // namespace

arguments parse_arguments(const std::vector<std::string>& words,
                          const std::string& environment_entries, wall_time now, findings& found)
{
    const gflags::FlagSaver flag_saver;
    arguments parsed;
    bool only_operands = false;
    for (std::size_t index = 0; index < words.size(); ++index) {
        const auto& word = words[index];
        if (only_operands || word.size() < 2 || word.front() != '-') {
            parsed.words.push_back(word);
            continue;
        }
        if (word == "--") {
            only_operands = true;
            continue;
        }
        const auto* next = index + 1 < words.size() ? &words[index + 1] : nullptr;
        if (set_flag(word, next, found))
            ++index;
    }
    parsed.flags = read_options(environment_entries, now, found);
    parsed.flags.help = flag_set("help");
    parsed.flags.version = flag_set("version");
    return parsed;
}

std::string usage_text()
{
    return R"(galenaturn drives the catalogue and the tasks of a galenaturn deployment.

  galenaturn catalogue check FILE           report every problem of a catalogue; asks no entry
  galenaturn catalogue apply FILE [--expect VERSION] [--author NAME]
                                            put FILE in force; without --expect over the version
                                            in force at this moment
  galenaturn catalogue get [--version_number N]
                                            print the document in force, or version N
  galenaturn catalogue list                 print owners, services and jobs in force
  galenaturn catalogue history [--limit N]  print versions, digests and authors
  galenaturn task start ID --job JOB [--deadline WHEN]
                                            start a task; a second start of ID starts nothing
  galenaturn task stop ID                   end a watcher or service task as planned
  galenaturn task cancel ID                 give a task up
  galenaturn task show ID                   print phase, outcome and reason
  galenaturn task list [--owner OWNER] [--limit N]
  galenaturn status                         print each process, its version in force and the ledger
  galenaturn members                        print the processes of the deployment
  galenaturn upstreams                      print the upstreams that an entry knows
  galenaturn voter list                     print the ledger's voters and learners
  galenaturn voter add PROCESS              take a control process that waits with an empty folder
                                            in as a learner
  galenaturn voter promote VOTER            give a learner that has caught up a vote
  galenaturn voter remove VOTER             take a voter or learner out for good

  --entries IP:PORT,...   entries, tried in turn; default: GALENATURN_ENTRIES
  --timeout SPAN          how long to try, over all entries (default 15s)
  --json                  print JSON
  --request_id ID         repeat an earlier command under its id: it has one effect
  --help, --version

Exit codes: 0 done; 1 failed, or its outcome is unknown; 2 bad usage or bad input; 3 conflict with
another change; 4 not found; 5 no entry or no quorum reachable, and certainly not done.
)";
}

} // namespace galenaturn::command_line
