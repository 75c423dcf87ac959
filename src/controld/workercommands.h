#pragma once

#include <galenaturn/schedule.h>

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace galenaturn::controld {

/** Fields common to all commands to a worker. */
struct command_header {
    fencing_token token;
    /**
     * End of the lease by the worker's own clock: until then its runs continue without contact to a
     * leader.
     */
    std::optional<std::chrono::milliseconds> lease_until;
    time_point reply_deadline;
};

/** The worker that a command is sent to. */
struct worker_target {
    worker_id id;
    ip_endpoint address;
};

/** Reply to a command. */
struct command_reply {
    schedule::command_result result{schedule::command_result::none};
    /** The worker's own clock at the time of the reply. */
    std::optional<std::chrono::milliseconds> clock;
    std::string reason;
    /** No reply, because the worker closed its connection. */
    bool closed{false};
    /** No reply, because nothing listens at the address of the worker. */
    bool connection_refused{false};
};

struct poll_reply {
    command_reply reply;
    /** The life of the worker that replied, or 0 if it is not known. */
    incarnation life;
    /** Set where the result is accepted. */
    schedule::worker_report report;
};

/** Sends commands to workers. The adapter of each platform implements it. */
class worker_commands {
public:
    virtual ~worker_commands() = default;

    virtual boost::asio::awaitable<command_reply>
    start(worker_target worker, schedule::start_command command, command_header header) = 0;
    virtual boost::asio::awaitable<command_reply>
    stop(worker_target worker, schedule::stop_command command, command_header header) = 0;
    virtual boost::asio::awaitable<command_reply>
    pace(worker_target worker, schedule::pace_command command, command_header header) = 0;
    /**
     * Polls the worker for its report. The worker delays the reply until a run ends, for `wait` at
     * most.
     */
    virtual boost::asio::awaitable<poll_reply> poll(worker_target worker,
                                                    std::uint64_t acknowledged_completions,
                                                    std::chrono::milliseconds wait,
                                                    command_header header) = 0;
};

} // namespace galenaturn::controld
