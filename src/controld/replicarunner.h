#pragma once

#include <galenaturn/daemon.h>
#include <galenaturn/ledger.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>

#include <deque>
#include <functional>
#include <memory>

namespace galenaturn::controld {

/** Counters of one replica. */
struct replica_counters {
    explicit replica_counters(metrics_registry& metrics);

    counter& commits;
    counter& syncs;
    counter& elections;
    counter& images_sent;
    counter& images_installed;
    gauge& term_number;
    gauge& applied_index;
    gauge& log_bytes;
};

/** What the runner tells its owner. */
struct runner_events {
    /** A committed entry, in order. */
    std::function<void(const ledger::log_entry&)> committed;
    /** The state is replaced by an image. Returns false where it cannot be read. */
    std::function<bool(const std::string& image)> installed;
    /** Returns the image of the state as it is now. */
    std::function<std::string()> image;
    std::function<void(bool leads)> leadership;
    /** The disk has failed; nothing is acknowledged any more. */
    std::function<void()> failed;
    /** A write has ended: a good moment for the next proposals. */
    std::function<void()> idle;
};

/** Gives a replica its time, its links and its disk. Everything but the disk is on one thread. */
class replica_runner {
public:
    replica_runner(daemon::context& shared, runner_events events);
    ~replica_runner();
    replica_runner(const replica_runner&) = delete;
    replica_runner& operator=(const replica_runner&) = delete;

    /** Opens the data folder and starts the replica. */
    result<void> start();

    [[nodiscard]] bool running() const { return replica_ != nullptr && !failed_; }
    [[nodiscard]] const ledger::replica& state() const { return *replica_; }
    [[nodiscard]] bool disk_busy() const { return disk_busy_; }
    [[nodiscard]] bool may_read() const;
    [[nodiscard]] process_id process_of(const voter_id& voter) const;
    /** Returns the voter id that a process without a log last gave itself, or an empty one. */
    [[nodiscard]] voter_id newcomer_of(const process_id& process) const;

    std::vector<log_index> propose(std::vector<std::string> commands);
    ledger::refusal change_voters(const ledger::voter_change& change);
    /** Makes the next change, if any, that keeps as many voters as the settings ask for. */
    void look_after_voters();

private:
    /** Work for the disk, carried out in order: image, new log, batches. */
    struct disk_job {
        std::optional<ledger::state_image> image;
        std::optional<ledger::log_batch> new_log;
        std::vector<ledger::log_batch> batches;
    };

    result<void> open_folder();
    void take_frame(const wire::hello& from, const std::string& payload);
    void take_formation(const ledger::formation_message& message);
    /** Queues what a step wants done and carries it out, in order, unless that is under way. */
    void take(ledger::effects done);
    void carry_out(ledger::effects done);
    void settle();
    void take_image(ledger::state_image image);
    void queue_writes(ledger::effects& done);
    void flush();
    void written(const result<void>& outcome, std::vector<ledger::peer_message> released);
    static result<void> write(ledger::storage& disk, const std::deque<disk_job>& jobs);
    void send(const ledger::peer_message& message);
    void shorten_log();
    [[nodiscard]] ledger::log_batch present_log() const;
    void schedule_tick();
    [[nodiscard]] std::vector<process_id> founders() const;
    [[nodiscard]] ledger::voter_facts voter_facts() const;
    void announce_formation();
    void form();
    void make_replica();

    daemon::context& shared_;
    runner_events events_;
    replica_counters counters_;
    state_chart chart_;
    std::unique_ptr<ledger::storage> disk_;
    std::unique_ptr<ledger::replica> replica_;
    ledger::formation formation_;
    std::map<voter_id, process_id> routes_;
    std::deque<ledger::effects> effects_;
    bool taking_{false};
    bool image_wanted_{false};
    std::deque<disk_job> jobs_;
    std::vector<ledger::peer_message> waiting_;
    std::size_t last_image_size_{0};
    bool disk_busy_{false};
    bool failed_{false};
    bool waiting_logged_{false};
    time_point report_waiting_at_;
    boost::asio::steady_timer tick_timer_;
    boost::asio::steady_timer formation_timer_;
    boost::asio::thread_pool disk_thread_{1};
};

} // namespace galenaturn::controld
