#pragma once

#include <galenaturn/membership.h>

#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace galenaturn::membership {

/** How the simulated network treats datagrams. */
struct network_faults {
    double loss{0};
    double duplication{0};
    std::chrono::microseconds least_delay{500};
    std::chrono::microseconds most_delay{3000};
};

struct simulation_shape {
    std::size_t domains{3};
    std::size_t entries{6};
    std::size_t controls{3};
    std::size_t upstreams{65};
    std::uint64_t seed{1};
    network_faults faults;
    std::string charts_folder;
};

/** Gossip nodes and upstreams on a virtual clock: a queue of datagrams and a tick for each node. */
class gossip_simulation {
public:
    struct simulated_upstream {
        wire::upstream_announcement said;
        std::size_t entry{0};
        time_point next;
        bool running{true};
    };
    struct process {
        member_settings settings;
        std::unique_ptr<gossip_node> node;
        time_point next_tick;
        bool running{true};
        /** Of the lives that have ended. */
        std::uint64_t earlier_bytes{0};
        std::uint64_t earlier_messages{0};
        std::uint64_t received_bytes{0};
    };

    explicit gossip_simulation(simulation_shape shape)
        : shape_{std::move(shape)}, random_{shape_.seed}
    {
        findings found;
        chart_ =
            load_chart(shape_.charts_folder, "upstream", announcement_table::action_names(), found);
        GN_INVARIANT(found.empty(), {"findings", found.text()});
        for (std::size_t index = 0; index < shape_.entries + shape_.controls; ++index)
            add_process(index);
        for (std::size_t index = 0; index < processes_.size(); ++index)
            start(index);
        for (std::size_t index = 0; index < shape_.upstreams; ++index)
            add_upstream(index);
    }

    void run_until(time_point end)
    {
        while (now_ < end) {
            const auto next = std::min(end, now_ + step);
            deliver_until(next);
            now_ = next;
            for (std::size_t index = 0; index < processes_.size(); ++index)
                tick(index);
            for (auto& upstream : upstreams_)
                announce(upstream);
        }
    }

    void run_for(duration span) { run_until(now_ + span); }

    void stop(std::size_t index)
    {
        auto& stopped = processes_[index];
        stopped.earlier_bytes += stopped.node->counts().budgeted_bytes;
        stopped.running = false;
    }

    /** Starts a process whose wall clock was set back by `set_back`. */
    void start(std::size_t index, duration set_back = {})
    {
        auto& started = processes_[index];
        started.running = true;
        gossip_settings settings;
        settings.self = started.settings;
        for (const auto& member : processes_)
            settings.members.push_back(member.settings);
        settings.boot =
            static_cast<std::uint64_t>((now_.time_since_epoch() - set_back).count()) + 1;
        started.node = std::make_unique<gossip_node>(settings, chart_, std::mt19937_64{random_()});
        started.next_tick = now_ + std::chrono::milliseconds{random_() % 100};
        gossip_effects effects;
        started.node->join(now_, effects);
        carry_out(index, effects);
    }

    /** Announces at once that an upstream is leaving. */
    void leave(std::size_t index)
    {
        upstreams_[index].said.leaving = true;
        upstreams_[index].next = now_;
        announce(upstreams_[index]);
    }

    void cut_off(const std::set<std::size_t>& indices) { cut_off_ = indices; }

    /** Returns whether every running entry of the upstream's domain holds it in one of `states`. */
    [[nodiscard]] bool known_everywhere(std::size_t index,
                                        const std::set<std::string>& states) const
    {
        const auto& said = upstreams_[index].said;
        for (const auto& process : processes_) {
            if (!process.running || process.settings.role != process_role::entry ||
                process.settings.domain != said.domain)
                continue;
            const auto* record = process.node->upstreams().table().find(said.id);
            if (record == nullptr || !states.contains(record->state))
                return false;
        }
        return true;
    }

    /** Returns the sum over running entries of the upstreams that they hold as announced. */
    [[nodiscard]] std::size_t announced_at(std::size_t index) const
    {
        std::size_t count = 0;
        for (const auto& [id, record] : processes_[index].node->upstreams().table().records())
            count += record.state == "announced" ? 1 : 0;
        return count;
    }

    [[nodiscard]] std::uint64_t bytes_sent(std::size_t index) const
    {
        const auto& process = processes_[index];
        return process.earlier_bytes + process.node->counts().budgeted_bytes;
    }

    [[nodiscard]] member_status status_of(std::size_t index, std::size_t seen_by) const
    {
        return processes_[seen_by]
            .node->members()
            .find(key_of(processes_[index].settings.id))
            ->status;
    }

    [[nodiscard]] time_point now() const { return now_; }
    [[nodiscard]] const std::vector<process>& processes() const { return processes_; }
    [[nodiscard]] std::vector<simulated_upstream>& upstreams() { return upstreams_; }
    [[nodiscard]] std::uint64_t messages() const { return messages_; }
    [[nodiscard]] std::uint64_t lapses() const { return lapses_; }
    network_faults& faults() { return shape_.faults; }
    std::mt19937_64& random() { return random_; }

private:
    static constexpr std::chrono::milliseconds step{5};
    static constexpr std::chrono::milliseconds tick_interval{100};

    struct datagram {
        time_point arrives;
        std::uint64_t number{0};
        std::size_t from{0};
        std::size_t to{0};
        std::string payload;

        bool operator>(const datagram& other) const
        {
            return std::tie(arrives, number) > std::tie(other.arrives, other.number);
        }
    };

    void add_process(std::size_t index)
    {
        const bool is_entry = index < shape_.entries;
        process added;
        added.settings.id = process_id{"process-" + std::to_string(index)};
        added.settings.role = is_entry ? process_role::entry : process_role::control;
        added.settings.domain = failure_domain_id{"hall-" + std::to_string(index % shape_.domains)};
        by_key_[key_of(added.settings.id)] = index;
        processes_.push_back(std::move(added));
    }

    void add_upstream(std::size_t index)
    {
        simulated_upstream added;
        added.said.id = upstream_id{"upstream-" + std::to_string(index)};
        added.said.service = service_id{"tawhiti-forecast"};
        added.said.domain = failure_domain_id{"hall-" + std::to_string(index % shape_.domains)};
        added.said.rack = rack_id{"rack-" + std::to_string(index / 8)};
        added.said.address = {"127.0.0.1", static_cast<std::uint16_t>(10000 + index)};
        added.said.life = incarnation{1};
        added.said.slots = 8;
        added.said.connections = 64;
        added.entry = next_entry(index % shape_.domains, random_());
        added.next = now_ + std::chrono::milliseconds{random_() % 500};
        upstreams_.push_back(std::move(added));
    }

    /** Returns an entry of the domain. */
    [[nodiscard]] std::size_t next_entry(std::size_t domain, std::uint64_t number) const
    {
        const auto in_domain = (shape_.entries - domain + shape_.domains - 1) / shape_.domains;
        return domain + shape_.domains * (number % in_domain);
    }

    void announce(simulated_upstream& upstream)
    {
        if (!upstream.running || now_ < upstream.next)
            return;
        if (!processes_[upstream.entry].running) {
            upstream.entry = next_entry(upstream.entry % shape_.domains, random_());
            upstream.next = now_ + std::chrono::milliseconds{50};
            return;
        }
        ++upstream.said.sequence;
        upstream.said.busy_slots = static_cast<std::uint32_t>(random_() % 9);
        upstream.next = now_ + announcement_interval;
        gossip_effects effects;
        processes_[upstream.entry].node->hear(upstream.said, now_, effects);
        carry_out(upstream.entry, effects);
    }

    void tick(std::size_t index)
    {
        auto& process = processes_[index];
        if (!process.running || now_ < process.next_tick)
            return;
        process.next_tick += tick_interval;
        gossip_effects effects;
        process.node->tick(now_, effects);
        carry_out(index, effects);
    }

    void deliver_until(time_point end)
    {
        while (!queue_.empty() && queue_.top().arrives <= end) {
            const auto next = queue_.top();
            queue_.pop();
            now_ = std::max(now_, next.arrives);
            auto& receiver = processes_[next.to];
            if (!receiver.running || cut_off_.contains(next.from) != cut_off_.contains(next.to))
                continue;
            receiver.received_bytes += next.payload.size();
            const auto message = wire::decode<gossip_message>(next.payload);
            GN_INVARIANT(message.has_value(), {"size", next.payload.size()});
            gossip_effects effects;
            receiver.node->receive(key_of(processes_[next.from].settings.id), message.value(), now_,
                                   effects);
            carry_out(next.to, effects);
        }
    }

    void carry_out(std::size_t from, const gossip_effects& effects)
    {
        lapses_ += effects.upstreams.lapsed.size();
        for (const auto& sent : effects.send) {
            ++messages_;
            const auto payload = wire::encode(sent.message);
            GN_INVARIANT(payload.size() < wire_limit, {"size", payload.size()});
            post(from, by_key_.at(sent.to), payload);
            if (happens(shape_.faults.duplication))
                post(from, by_key_.at(sent.to), payload);
        }
    }

    void post(std::size_t from, std::size_t to, const std::string& payload)
    {
        if (happens(shape_.faults.loss))
            return;
        const auto spread = shape_.faults.most_delay - shape_.faults.least_delay;
        const auto extra = std::chrono::microseconds{
            static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(spread.count() + 1))};
        queue_.push({now_ + shape_.faults.least_delay + extra, ++posted_, from, to, payload});
    }

    bool happens(double share)
    {
        return share > 0 && std::uniform_real_distribution<double>{0, 1}(random_) < share;
    }

    static constexpr std::size_t wire_limit = 1300;

    simulation_shape shape_;
    std::mt19937_64 random_;
    state_chart chart_;
    time_point now_{std::chrono::seconds{100}};
    std::vector<process> processes_;
    std::vector<simulated_upstream> upstreams_;
    std::map<member_key, std::size_t> by_key_;
    std::priority_queue<datagram, std::vector<datagram>, std::greater<>> queue_;
    std::set<std::size_t> cut_off_;
    std::uint64_t posted_{0};
    std::uint64_t messages_{0};
    std::uint64_t lapses_{0};
};

} // namespace galenaturn::membership
