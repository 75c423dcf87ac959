#include "announcements.h"

namespace galenaturn::wire {

const char* to_string(worker_task_state state)
{
    switch (state) {
    case worker_task_state::starting:
        return "starting";
    case worker_task_state::running:
        return "running";
    case worker_task_state::checkpointing:
        return "checkpointing";
    case worker_task_state::stopped:
        return "stopped";
    case worker_task_state::succeeded:
        return "succeeded";
    case worker_task_state::failed:
        return "failed";
    case worker_task_state::out_of_memory:
        return "out_of_memory";
    case worker_task_state::evicted:
        return "evicted";
    }
    return "invalid";
}

const char* to_string(worker_command_kind kind)
{
    switch (kind) {
    case worker_command_kind::start:
        return "start";
    case worker_command_kind::renew:
        return "renew";
    case worker_command_kind::throttle:
        return "throttle";
    case worker_command_kind::checkpoint:
        return "checkpoint";
    case worker_command_kind::stop:
        return "stop";
    }
    return "invalid";
}

} // namespace galenaturn::wire
