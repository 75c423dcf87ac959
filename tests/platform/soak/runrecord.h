#pragma once

#include <cstddef>
#include <cstdint>
#include <istream>
#include <set>
#include <string>
#include <vector>

namespace galenaturn::soak {

/** What the journals of the workers show. */
struct run_summary {
    std::size_t tasks{0};
    std::size_t runs{0};
    /** Calls that a worker carried out after a cut, or for its former life. */
    std::size_t late_calls{0};
    std::set<std::string> jobs;
    /** Jobs of which a task runs at the end of the journal. */
    std::set<std::string> running_jobs;
    /** One text for each task that ran twice at once or began after an acknowledged end. */
    std::vector<std::string> violations;
};

/**
 * Reads the journal of all workers: lines "MS WORKER KIND ...". The runs of a life end when it
 * stands still or is gone. An end counts as acknowledged unless the lease lapsed before that.
 */
run_summary check_runs(std::istream& journal);

} // namespace galenaturn::soak
