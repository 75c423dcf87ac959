#include "suspension/vmsuspensions.h"

#include "platform/soak/soak.h"

#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "Seed of the first run; each later run uses the next one");
DEFINE_int32(seconds, 30, "How long the processes of each run are disturbed");
DEFINE_int32(runs, 1, "Number of seeds");
DEFINE_int32(workers, 4, "Number of workers");
DEFINE_int32(controls, 3, "Number of control processes");
DEFINE_int32(entries, 2, "Number of entries");
DEFINE_bool(cuts, false, "Also cut links between control processes, and lose their disks");
DEFINE_string(logs, "/tmp/galenaturn-suspension", "Where the logs of a failed seed are kept");

/** Suspends real processes like VMs, one run a seed; prints each failed seed with a record. */
int main(int argc, char** argv)
{
    using namespace galenaturn;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    soak::soak_options options;
    options.seed = FLAGS_seed;
    options.disturbed = std::chrono::seconds{FLAGS_seconds};
    options.sizes = {FLAGS_controls, FLAGS_entries, FLAGS_workers};
    options.programs = SUSPENDABLE_PROGRAMS;
    options.logs = FLAGS_logs + "/" + std::to_string(FLAGS_seed);
    const auto suspensions = std::make_shared<suspension::vm_suspensions>(options.logs);
    options.on_suspension = suspension::suspends_like_vms(suspensions);
    if (FLAGS_cuts)
        options.cutter = suspension::cuts_links(suspensions);
    return soak::run_seeds(options, FLAGS_runs) == 0 ? 0 : 1;
}
