#include "commands.h"

namespace galenaturn::wire {

const char* to_string(task_phase phase)
{
    switch (phase) {
    case task_phase::pending:
        return "pending";
    case task_phase::assigned:
        return "assigned";
    case task_phase::finished:
        return "finished";
    }
    return "invalid";
}

const char* to_string(task_outcome outcome)
{
    switch (outcome) {
    case task_outcome::none:
        return "none";
    case task_outcome::succeeded:
        return "succeeded";
    case task_outcome::failed:
        return "failed";
    case task_outcome::cancelled:
        return "cancelled";
    case task_outcome::stopped:
        return "stopped";
    case task_outcome::parked:
        return "parked";
    }
    return "invalid";
}

const char* to_string(command_status status)
{
    switch (status) {
    case command_status::accepted:
        return "accepted";
    case command_status::conflict:
        return "conflict";
    case command_status::duplicate:
        return "duplicate";
    case command_status::rejected:
        return "rejected";
    case command_status::not_leader:
        return "not_leader";
    case command_status::unavailable:
        return "unavailable";
    case command_status::unknown:
        return "unknown";
    }
    return "invalid";
}

} // namespace galenaturn::wire
