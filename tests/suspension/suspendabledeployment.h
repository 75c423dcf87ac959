#pragma once

#include "vmsuspensions.h"

#include "platform/soak/callers.h"
#include "platform/soak/deployment.h"

#include <filesystem>
#include <random>

namespace galenaturn::suspension {

/** Processes that a test suspends like VMs. Ends them with itself. */
class suspendable_deployment {
public:
    /** `programs` holds the daemons, `folder` gets the logs. */
    suspendable_deployment(const std::filesystem::path& programs, std::filesystem::path folder,
                           const soak::deployment_sizes& sizes);

    /** Starts all and publishes a first configuration. Returns false if that did not succeed. */
    bool start(std::uint64_t seed);
    void suspend(soak::soak_process& process);
    void resume(soak::soak_process& process, clocks_left_behind clocks);
    /** Kills a control process and starts it again, on an empty disk if `loses_disk` is set. */
    void restart(soak::soak_process& control, bool loses_disk);
    void set_time_of_day(const soak::soak_process& process, duration ahead)
    {
        suspensions_.set_time_of_day(process, ahead);
    }
    /** Publishes the next configuration at a process that is not suspended. */
    bool publish();
    /** Waits for a leader; returns null if there is none for long. */
    [[nodiscard]] soak::soak_process* await_leader();
    [[nodiscard]] int acknowledged_version() const;
    [[nodiscard]] std::vector<soak::soak_process*> controls()
    {
        return processes_.all_of(soak::process_kind::control);
    }
    [[nodiscard]] std::vector<soak::soak_process*> entries()
    {
        return processes_.all_of(soak::process_kind::entry);
    }
    [[nodiscard]] std::filesystem::path journal() const { return processes_.journal(); }
    [[nodiscard]] const std::filesystem::path& folder() const { return folder_; }

private:
    std::filesystem::path folder_;
    vm_suspensions suspensions_;
    soak::deployment processes_;
    soak::caller_record callers_;
};

} // namespace galenaturn::suspension
