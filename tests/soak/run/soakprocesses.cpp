#include "platform/soak/soak.h"

#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "Seed of the first run; each later run uses the next one");
DEFINE_int32(seconds, 30, "How long the processes of each run are disturbed");
DEFINE_int32(runs, 1, "Number of seeds");
DEFINE_int32(workers, 6, "Number of workers");
DEFINE_int32(controls, 3, "Number of control processes");
DEFINE_int32(entries, 3, "Number of entries");
DEFINE_string(logs, "/tmp/galenaturn-soak", "Where the logs of a failed seed are kept");

/** Disturbs real processes, one run a seed; prints each failed seed with a record. */
int main(int argc, char** argv)
{
    using namespace galenaturn::soak;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    soak_options options;
    options.seed = FLAGS_seed;
    options.disturbed = std::chrono::seconds{FLAGS_seconds};
    options.sizes = {FLAGS_controls, FLAGS_entries, FLAGS_workers};
    options.programs = GALENATURN_BINARY_DIR;
    options.logs = FLAGS_logs;
    return run_seeds(options, FLAGS_runs) == 0 ? 0 : 1;
}
