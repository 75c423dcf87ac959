#pragma once

#include <galenaturn/ledger.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace galenaturn::bench {

/** Replicas in virtual time: all links have the same latency and loss, all syncs the same time. */
class virtual_group {
public:
    struct options {
        std::size_t voters{3};
        duration latency{std::chrono::microseconds{1500}};
        duration sync{std::chrono::milliseconds{1}};
        double loss{0};
        std::uint64_t seed{1};
    };
    struct counts {
        std::uint64_t syncs{0};
        std::uint64_t commits{0};
        /** Messages between voters; bytes include frame headers. */
        std::uint64_t messages{0};
        std::uint64_t bytes_sent{0};
        /** Bytes sent by the leader to the first follower. */
        std::uint64_t follower_bytes{0};
    };

    explicit virtual_group(const options& wanted);

    void run_for(duration span);
    /** Proposes a command at the leader; commands are batched while its disk is busy. */
    void propose(std::string command);
    /** Returns the index of the leader, or the number of voters if there is none. */
    [[nodiscard]] std::size_t leader() const;
    [[nodiscard]] const ledger::replica& core(std::size_t at) const { return *nodes_[at].core; }
    [[nodiscard]] time_point now() const { return now_; }
    [[nodiscard]] const counts& totals() const { return counts_; }
    void reset_counts() { counts_ = {}; }
    /** Called for each entry that a voter applies. */
    std::function<void(std::size_t voter, const ledger::log_entry&)> applied;

private:
    struct node {
        std::unique_ptr<ledger::replica> core;
        std::vector<ledger::peer_message> messages_after_sync;
        std::vector<std::string> queued;
        bool dirty{false};
        bool syncing{false};
    };
    struct event {
        time_point when;
        std::uint64_t order{0};
        std::function<void()> action;
        bool operator<(const event& other) const
        {
            return when != other.when ? when > other.when : order > other.order;
        }
    };

    void schedule(duration delay, std::function<void()> action);
    void schedule_tick(std::size_t voter);
    void process_effects(std::size_t voter, ledger::effects done);
    void start_sync(std::size_t voter);
    void send(std::size_t from, const ledger::peer_message& message);

    options options_;
    state_chart chart_;
    std::mt19937_64 random_;
    time_point now_{std::chrono::hours{1}};
    std::uint64_t order_{0};
    std::priority_queue<event> events_;
    std::vector<node> nodes_;
    std::map<voter_id, std::size_t> voter_indexes_;
    counts counts_;
};

} // namespace galenaturn::bench
