#pragma once

#include <galenaturn/http.h>
#include <galenaturn/messages.h>

#include <optional>
#include <string>

namespace galenaturn::daemon {

/** Status of one process for operators. */
struct process_status {
    member_settings self;
    bool ready{false};
    bool accepting{false};
    /** Version of the catalogue that this process uses; 0 before the first. */
    catalogue_version version;
    std::string digest;
    /** Only in control processes. */
    std::optional<wire::ledger_status> ledger;
};

/** Returns the status, and the members that the settings list, as JSON. */
std::string status_json(const process_status& status, const process_settings& settings);

} // namespace galenaturn::daemon
