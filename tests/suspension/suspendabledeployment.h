#pragma once

#include "suspensiontable.h"

#include "platform/soak/callers.h"
#include "platform/soak/deployment.h"

#include <filesystem>
#include <random>

namespace galenaturn::suspension {

/** What the steady clock of a VM does while the VM does not run. */
enum class steady_clock_while_away { stands_still, goes_on };

/** Control processes that a test suspends like VMs. Ends them with itself. */
class suspendable_deployment {
public:
    /** `programs` holds the daemons, `folder` gets the logs. */
    suspendable_deployment(const std::filesystem::path& programs, std::filesystem::path folder,
                           int controls);

    /** Starts all and publishes a first configuration. Returns false if that did not succeed. */
    bool start(std::uint64_t seed);
    void suspend(soak::soak_process& process);
    void resume(soak::soak_process& process, steady_clock_while_away clock);
    /** Publishes the next configuration at a process that is not suspended. */
    bool publish();
    /** Returns the control process that leads, or null while none does. */
    [[nodiscard]] soak::soak_process* leader();
    [[nodiscard]] int acknowledged_version() const;
    [[nodiscard]] const std::filesystem::path& folder() const { return folder_; }

private:
    std::filesystem::path folder_;
    suspension_table* table_;
    soak::deployment processes_;
    soak::caller_record callers_;
    std::map<std::string, time_point> suspended_at_;
};

/** Asks for the configuration on an open connection. Returns its version, or 0 without one. */
int read_version(soak::http_socket& connection);

} // namespace galenaturn::suspension
