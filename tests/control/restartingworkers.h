#pragma once

#include "controld/workercommands.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace galenaturn::controld {

/**
 * Workers that start again under their names. Each life has a clock, completion numbers and a
 * fencing token of its own; a call reaches whichever life is there, perhaps late. A lease ends
 * `lease_limit` after the call that grants it at the latest, and never gets shorter.
 */
class restarting_workers : public worker_commands {
public:
    restarting_workers(boost::asio::io_context& io, duration lease_limit)
        : io_{io}, lease_limit_{lease_limit}
    {
    }

    /** The worker starts, or starts again with nothing of its former life. */
    void begin_life(const std::string& name, incarnation life,
                    std::chrono::milliseconds clock = std::chrono::milliseconds{0});
    /** The worker ends with all its runs; its address refuses connections. */
    void end_life(const std::string& name);
    /** While it is cut off, calls and replies are lost and its runs go on. */
    void cut_off(const std::string& name, bool cut) { workers_[name].cut = cut; }
    /** Calls are not carried out on their arrival, and get no reply. */
    void hold_calls(const std::string& name, bool hold) { workers_[name].holds_calls = hold; }
    /** The same for starts alone: the worker answers everything else. */
    void hold_starts(const std::string& name, bool hold) { workers_[name].holds_starts = hold; }
    /**
     * Carries out the calls that were held and sent until then, in whichever life the worker is
     * now.
     */
    void carry_out_held_calls(const std::string& name, time_point sent_until = time_point::max());
    /** Lets runs on the worker succeed, all of them or this many. */
    void end_runs(const std::string& name,
                  std::size_t count = std::numeric_limits<std::size_t>::max());

    [[nodiscard]] std::size_t running(const std::string& name);
    [[nodiscard]] std::uint64_t starts(const std::string& name) { return workers_[name].starts; }
    /** Starts of tasks that ran on another worker, or whose success may have been forgotten. */
    [[nodiscard]] const std::vector<wire::task_ref>& doubled() const { return doubled_; }

    boost::asio::awaitable<command_reply>
    start(worker_target worker, schedule::start_command command, command_header header) override;
    boost::asio::awaitable<command_reply> stop(worker_target worker, schedule::stop_command command,
                                               command_header header) override;
    boost::asio::awaitable<command_reply> pace(worker_target worker, schedule::pace_command command,
                                               command_header header) override;
    boost::asio::awaitable<poll_reply> poll(worker_target worker,
                                            std::uint64_t acknowledged_completions,
                                            std::chrono::milliseconds wait,
                                            command_header header) override;

private:
    struct held_call {
        time_point sent_at;
        std::function<void()> carry_out;
    };

    struct worker_state {
        incarnation life;
        time_point began;
        fencing_token token;
        time_point lease_ends;
        std::map<wire::task_ref, std::uint32_t> running;
        std::vector<schedule::worker_report::ended_run> ended;
        std::uint64_t last_completion{0};
        std::uint64_t starts{0};
        bool over{false};
        bool cut{false};
        bool holds_calls{false};
        bool holds_starts{false};
        std::vector<held_call> held_calls;
    };

    [[nodiscard]] static std::chrono::milliseconds clock_of(const worker_state& worker);
    static void expire_lease(worker_state& worker);
    /** Applies what all calls have in common. Returns false if the call is fenced. */
    bool accept_call(worker_state& worker, const command_header& header) const;
    command_reply carry_out_start(const std::string& name, const schedule::start_command& command,
                                  const command_header& header);
    poll_reply carry_out_poll(const std::string& name, std::uint64_t acknowledged,
                              const command_header& header);
    boost::asio::awaitable<void> wait_until(time_point deadline);

    boost::asio::io_context& io_;
    duration lease_limit_;
    std::map<std::string, worker_state> workers_;
    std::map<wire::task_ref, std::string> succeeded_;
    std::vector<wire::task_ref> doubled_;
};

} // namespace galenaturn::controld
