#pragma once

#include <galenaturn/http.h>
#include <galenaturn/messages.h>

#include <optional>
#include <string>

namespace galenaturn::daemon {

/** What one process says of itself to operators. */
struct process_status {
    member_settings self;
    bool ready{false};
    bool accepting{false};
    /** The catalogue that this process works by; 0 before the first. */
    catalogue_version version;
    std::string digest;
    /** Control only. */
    std::optional<wire::ledger_status> ledger;
};

/** Returns the status and the members of the settings as JSON. */
std::string status_json(const process_status& status, const process_settings& settings);

} // namespace galenaturn::daemon
