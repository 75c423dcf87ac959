#pragma once

#include "suspensiontable.h"

#include "platform/soak/deployment.h"

#include <filesystem>
#include <map>
#include <memory>
#include <string>

namespace galenaturn::suspension {

/**
 * The clocks of a VM that leave out the time for which it was suspended. A VM whose host pauses it
 * without telling its system leaves the time out on CLOCK_BOOTTIME too.
 */
enum class clocks_left_behind { none, steady, steady_and_boot };

/** Makes suspended processes look like suspended VMs: to their clocks, and to who sends to them. */
class vm_suspensions {
public:
    /** Makes the table in `folder`, and names it to processes started from now on. */
    explicit vm_suspensions(const std::filesystem::path& folder);

    [[nodiscard]] bool is_ready() const { return table_ != nullptr; }
    /** To be called before the process is suspended. */
    void begin(const soak::soak_process& process);
    /** To be called before the process is resumed or killed; does nothing for one that runs. */
    void end(const soak::soak_process& process, clocks_left_behind clocks);
    /** Sets the time of day of the running process this far ahead, or behind if negative. */
    void set_time_of_day(const soak::soak_process& process, duration ahead);
    void set_link(const soak::soak_process& from, const soak::soak_process& to, bool is_cut);

private:
    suspension_table* table_;
    std::map<std::string, time_point> suspended_at_;
};

/** Observes a soak's suspensions, which some clocks show and others do not. */
soak::suspension_observer suspends_like_vms(std::shared_ptr<vm_suspensions> suspensions);
/** Cuts links between the processes of a soak. */
soak::link_cutter cuts_links(std::shared_ptr<vm_suspensions> suspensions);

} // namespace galenaturn::suspension
