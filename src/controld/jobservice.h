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
 * Takes jobs and runs their tasks on workers while this process leads the ledger; its term is the
 * fencing number of all its orders. Every control process takes announcements and shares them.
 */
class job_service : public daemon::service {
public:
    /** `hub` and `roster` outlive the service. `read` decodes what operators publish. */
    job_service(daemon::context& shared, control_hub& hub, daemon::roster_service& roster,
                std::unique_ptr<worker_orders> orders, queue_reader read);
    result<void> start() override;

    /** Takes an announcement that a worker made to this process. */
    void hear(const wire::worker_beat& beat);
    /** Answers what a caller asked, as the leader; others answer unavailable. */
    boost::asio::awaitable<wire::job_answer> answer(wire::job_request request);

private:
    /** How one worker is spoken with in this term. */
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
    /** How a worker is given an order that prolongs no lease. */
    template <class Order>
    using order_call = boost::asio::awaitable<order_reply> (worker_orders::*)(wire::worker_record,
                                                                              Order, order_terms);
    /** Gives an order; returns nothing where it was not given, or the term has ended since. */
    template <class Order>
    boost::asio::awaitable<std::optional<order_reply>> give(worker_id worker, std::uint64_t session,
                                                            Order order, order_call<Order> call);
    boost::asio::awaitable<void> send_pace(worker_id worker, std::uint64_t session);

    // Passes.
    void wake();
    void pass();
    /** Queues orders on the lines of their workers, as far as these are still there. */
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
    /** Counts the terms that this process has served, so that what belongs to one ends with it. */
    std::uint64_t session_{0};
    bool serving_{false};
    term token_;
    schedule::job_scheduler scheduler_;
    schedule::job_counts counts_;
    counter_mirror counters_;
    std::map<worker_id, worker_line> lines_;
    bool pass_due_{false};
    /** No pass begins before. */
    time_point next_pass_;
    time_point next_room_log_;
    time_point next_model_share_;
    /** What the leader before had learned, so that a new one need not begin again. */
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
