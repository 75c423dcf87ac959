#pragma once

#include "controlhub.h"
#include "countermirror.h"
#include "queuetable.h"
#include "workerorders.h"

#include <galenaturn/daemon.h>
#include <galenaturn/schedule.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace galenaturn::controld {

/**
 * Accepts jobs and runs their tasks on workers while this process leads the ledger. The term of the
 * leader is the fencing token of all its commands. Every control process receives announcements and
 * shares them with the others.
 */
class job_service : public daemon::service {
public:
    /**
     * `hub` and `roster` must outlive the service. `read_queues` decodes the queue settings that
     * operators publish.
     */
    job_service(daemon::context& shared, control_hub& hub, daemon::roster_service& roster,
                std::unique_ptr<worker_orders> orders, queue_reader read);
    result<void> start() override;

    /** Handles an announcement that a worker sent to this process. */
    void hear(const wire::worker_beat& beat);
    /** Handles a request of a caller. Processes that do not lead reply `unavailable`. */
    boost::asio::awaitable<wire::job_answer> answer(wire::job_request request);

private:
    /** Connection state of one worker in the current term. */
    struct worker_line {
        std::optional<std::chrono::milliseconds> clock;
        time_point clock_read;
        time_point answered;
        std::deque<schedule::start_order> starts;
        std::deque<schedule::stop_order> stops;
        std::deque<schedule::pace_order> paces;
        bool sending{false};
    };

    // Terms.
    void watch_leadership();
    void begin_term();
    void end_term(const char* cause);
    [[nodiscard]] bool in_term(std::uint64_t session) const;
    void take_change(const ledger::applied_change& change);

    // Announcements.
    bool note(const wire::worker_beat& beat);
    void share(const wire::worker_beat& beat);
    void share_later();
    void send_shared();
    void tell_controls(wire::frame_kind kind, const std::string& payload);
    void bring_in(const wire::worker_beat& beat);
    void note_in_ledger(std::vector<wire::worker_record> admitted, std::vector<worker_id> retired);
    static boost::asio::awaitable<void> keep_note(job_service* self, wire::note_workers note,
                                                  std::uint64_t session);

    // Workers.
    void open_line(const worker_id& worker);
    static boost::asio::awaitable<void> watch(job_service* self, worker_id worker,
                                              std::uint64_t session);
    boost::asio::awaitable<bool> look(worker_id worker, std::uint64_t session);
    boost::asio::awaitable<void> record(std::vector<wire::record_ends::item> items,
                                        std::uint64_t session);
    void retire(const worker_id& worker, const char* cause);
    void take_clock(worker_line& line, const order_reply& reply);
    [[nodiscard]] std::optional<std::chrono::milliseconds> lease_for(const worker_line& line) const;
    void send_orders(const worker_id& worker);
    static boost::asio::awaitable<void> send_queue(job_service* self, worker_id worker,
                                                   std::uint64_t session);
    boost::asio::awaitable<void> send_start(worker_id worker, std::uint64_t session);
    boost::asio::awaitable<void> send_stop(worker_id worker, std::uint64_t session);
    /** Member function that sends a command that does not extend the lease. */
    template <class Order>
    using order_call = boost::asio::awaitable<order_reply> (worker_orders::*)(wire::worker_record,
                                                                              Order, order_terms);
    /** Sends a command. Returns nothing where it was not sent, or the term has ended since. */
    template <class Order>
    boost::asio::awaitable<std::optional<order_reply>> give(worker_id worker, std::uint64_t session,
                                                            Order order, order_call<Order> call);
    boost::asio::awaitable<void> send_pace(worker_id worker, std::uint64_t session);

    // Passes.
    void wake();
    void pass();
    /** Queues commands for their workers, skipping workers that are gone. */
    template <class Order>
    void hand_out(const std::vector<Order>& orders, std::deque<Order> worker_line::*queue);
    void rest_after_pass(time_point began);
    void tick_later();
    void log_room();
    void share_model();

    // Callers.
    boost::asio::awaitable<wire::job_answer> submit(wire::job_request request,
                                                    wire::queue_settings queue);
    boost::asio::awaitable<wire::job_answer> cancel(wire::job_request request);
    wire::job_answer show(const wire::job_request& request) const;

    daemon::context& shared_;
    control_hub& hub_;
    daemon::roster_service& roster_;
    std::unique_ptr<worker_orders> orders_;
    queue_reader read_queues_;
    queue_table queues_;
    schedule::announced_workers announcements_;
    std::vector<wire::worker_beat> to_share_;
    bool sharing_{false};
    /**
     * Number of terms of this process so far; work started in one term checks it and stops with the
     * term.
     */
    std::uint64_t session_{0};
    bool serving_{false};
    term token_;
    schedule::job_scheduler scheduler_;
    schedule::job_counts counts_;
    counter_mirror counters_;
    std::map<worker_id, worker_line> lines_;
    bool pass_due_{false};
    /** Earliest start of the next pass. */
    time_point next_pass_;
    time_point next_room_log_;
    time_point next_model_share_;
    /**
     * Tail model received from the previous leader, so that a new one does not start without any.
     */
    schedule::tail_model last_model_;
    boost::asio::steady_timer tick_timer_;
    boost::asio::steady_timer pass_timer_;
    boost::asio::steady_timer share_timer_;
    gauge& open_jobs_;
    gauge& known_workers_;
    std::map<wire::job_answer_status, counter*> answers_;
    latency_summary& accept_latency_;
};

} // namespace galenaturn::controld
