#include "flags.h"

#include <gflags/gflags.h>

#include <iostream>

namespace {

constexpr const char* usage =
    "SUBCOMMAND [flags]; upstream, worker and load generator for tests and util/demo\n"
    "  upstream  serves requests and announces itself to the entries\n"
    "  worker    runs tasks under leases and announces itself to the entries\n"
    "  load      sends requests to an entry and prints a summary";

} // namespace

int main(int argc, char** argv)
{
    using namespace galenaturn;
    gflags::SetVersionString(GALENATURN_VERSION);
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    init_log(log_level::info);
    const std::string subcommand = argc > 1 ? argv[1] : "";
    if (subcommand == "upstream")
        return standin::run_upstream();
    if (subcommand == "worker")
        return standin::run_worker();
    if (subcommand == "load")
        return standin::run_load();
    standin::fail_usage("the subcommand is one of: upstream, worker, load");
}
