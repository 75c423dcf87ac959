#pragma once

#include "deployment.h"

#include <cstdint>
#include <string>
#include <vector>

namespace galenaturn::soak {

struct soak_options {
    std::uint64_t seed{1};
    /** How long processes are disturbed. */
    std::chrono::seconds disturbed{30};
    deployment_sizes sizes;
    /** Folder of the programs, and the one that gets a folder for the logs of this run. */
    std::filesystem::path programs;
    std::filesystem::path logs;
    /** If there is one, control processes and entries are suspended like VMs. */
    suspension_observer on_suspension;
    /** If there is one, links between control processes are cut, and their disks are lost. */
    link_cutter cutter;
};

struct soak_result {
    std::vector<std::string> violations;
    /** What was done, with times. */
    std::vector<std::string> notes;
    /** Counts, as text. */
    std::string summary;
    /** Kept if a check failed. */
    std::filesystem::path folder;
};

/** Plays one seed with real processes on loopback, and checks it. */
soak_result run_soak(const soak_options& options);
/** Plays seeds one after the other from that of `options` on, and prints each. Returns how many
 * failed. */
int run_seeds(soak_options options, int count);

} // namespace galenaturn::soak
