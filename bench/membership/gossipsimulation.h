#pragma once

#include <galenaturn/membership.h>

#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace galenaturn::membership {

/** Faults of the simulated network. */
struct network_faults {
    /** Probability that a datagram is lost. */
    double loss{0};
    /** Probability that a datagram is sent twice. */
    double duplication{0};
    std::chrono::microseconds min_delay{500};
    std::chrono::microseconds max_delay{3000};
};

struct simulation_settings {
    std::size_t domains{3};
    std::size_t entries{6};
    std::size_t controls{3};
    std::size_t upstreams{65};
    std::uint64_t seed{1};
    network_faults faults;
    std::string charts_folder;
};

/** Runs gossip nodes and upstreams on a virtual clock, with a queue of datagrams in transit. */
class gossip_simulation {
public:
    struct simulated_upstream {
        wire::upstream_announcement announcement;
        std::size_t entry{0};
        time_point next_announcement_at;
        bool running{true};
    };
    struct process {
        member_settings settings;
        std::unique_ptr<gossip_node> node;
        time_point next_tick_at;
        bool running{true};
        /** Totals of earlier starts of the process. */
        std::uint64_t earlier_bytes{0};
        std::uint64_t earlier_messages{0};
        std::uint64_t received_bytes{0};
    };

    explicit gossip_simulation(simulation_settings settings)
        : settings_{std::move(settings)}, random_{settings_.seed}
    {
        findings found;
        chart_ = load_chart(settings_.charts_folder, "upstream", announcement_table::action_names(),
                            found);
        GN_INVARIANT(found.empty(), {"findings", found.text()});
        for (std::size_t index = 0; index < settings_.entries + settings_.controls; ++index)
            add_process(index);
        for (std::size_t index = 0; index < processes_.size(); ++index)
            start(index);
        for (std::size_t index = 0; index < settings_.upstreams; ++index)
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

    /** Starts a process; its wall clock is set back by `set_back`. */
    void start(std::size_t index, duration set_back = {})
    {
        auto& started = processes_[index];
        started.running = true;
        gossip_settings settings;
        settings.self = started.settings;
        for (const auto& member : processes_)
            settings.members.push_back(member.settings);
        settings.start_number =
            static_cast<std::uint64_t>((now_.time_since_epoch() - set_back).count()) + 1;
        started.node = std::make_unique<gossip_node>(settings, chart_, std::mt19937_64{random_()});
        started.next_tick_at = now_ + std::chrono::milliseconds{random_() % 100};
        gossip_effects effects;
        started.node->join(now_, effects);
        apply_effects(index, effects);
    }

    /** Announces at once that an upstream is leaving. */
    void announce_leaving(std::size_t index)
    {
        upstreams_[index].announcement.leaving = true;
        upstreams_[index].next_announcement_at = now_;
        announce(upstreams_[index]);
    }

    /** Drops datagrams between these processes and all others; an empty set ends the partition. */
    void isolate(const std::set<std::size_t>& indices) { isolated_ = indices; }

    /** Returns whether every running entry of the upstream's domain has it in one of `states`. */
    [[nodiscard]] bool known_everywhere(std::size_t index,
                                        const std::set<std::string>& states) const
    {
        const auto& announcement = upstreams_[index].announcement;
        for (const auto& process : processes_) {
            if (!process.running || process.settings.role != process_role::entry ||
                process.settings.domain != announcement.domain)
                continue;
            const auto* record = process.node->upstreams().table().find(announcement.id);
            if (record == nullptr || !states.contains(record->state))
                return false;
        }
        return true;
    }

    /** Returns the number of upstreams that a process has as announced. */
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

    [[nodiscard]] member_status status_of(std::size_t index, std::size_t observer) const
    {
        return processes_[observer]
            .node->members()
            .find(key_of(processes_[index].settings.id))
            ->status;
    }

    [[nodiscard]] time_point now() const { return now_; }
    [[nodiscard]] const std::vector<process>& processes() const { return processes_; }
    [[nodiscard]] std::vector<simulated_upstream>& upstreams() { return upstreams_; }
    [[nodiscard]] std::uint64_t messages() const { return messages_; }
    [[nodiscard]] std::uint64_t expiries() const { return expiries_; }
    network_faults& faults() { return settings_.faults; }
    std::mt19937_64& random() { return random_; }

private:
    static constexpr std::chrono::milliseconds step{5};
    static constexpr std::chrono::milliseconds tick_interval{100};

    struct datagram {
        time_point arrives_at;
        std::uint64_t number{0};
        std::size_t from{0};
        std::size_t to{0};
        std::string payload;

        bool operator>(const datagram& other) const
        {
            return std::tie(arrives_at, number) > std::tie(other.arrives_at, other.number);
        }
    };

    void add_process(std::size_t index)
    {
        const bool is_entry = index < settings_.entries;
        process added;
        added.settings.id = process_id{"process-" + std::to_string(index)};
        added.settings.role = is_entry ? process_role::entry : process_role::control;
        added.settings.domain =
            failure_domain_id{"hall-" + std::to_string(index % settings_.domains)};
        index_by_key_[key_of(added.settings.id)] = index;
        processes_.push_back(std::move(added));
    }

    void add_upstream(std::size_t index)
    {
        simulated_upstream added;
        added.announcement.id = upstream_id{"upstream-" + std::to_string(index)};
        added.announcement.service = service_id{"tawhiti-forecast"};
        added.announcement.domain =
            failure_domain_id{"hall-" + std::to_string(index % settings_.domains)};
        added.announcement.rack = rack_id{"rack-" + std::to_string(index / 8)};
        added.announcement.address = {"127.0.0.1", static_cast<std::uint16_t>(10000 + index)};
        added.announcement.incarnation_number = incarnation{1};
        added.announcement.slots = 8;
        added.announcement.connections = 64;
        added.entry = entry_of_domain(index % settings_.domains, random_());
        added.next_announcement_at = now_ + std::chrono::milliseconds{random_() % 500};
        upstreams_.push_back(std::move(added));
    }

    /** Returns the index of an entry of the domain, chosen by `number` among its entries. */
    [[nodiscard]] std::size_t entry_of_domain(std::size_t domain, std::uint64_t number) const
    {
        const auto entries_in_domain =
            (settings_.entries - domain + settings_.domains - 1) / settings_.domains;
        return domain + settings_.domains * (number % entries_in_domain);
    }

    void announce(simulated_upstream& upstream)
    {
        if (!upstream.running || now_ < upstream.next_announcement_at)
            return;
        if (!processes_[upstream.entry].running) {
            upstream.entry = entry_of_domain(upstream.entry % settings_.domains, random_());
            upstream.next_announcement_at = now_ + std::chrono::milliseconds{50};
            return;
        }
        ++upstream.announcement.sequence;
        upstream.announcement.busy_slots = static_cast<std::uint32_t>(random_() % 9);
        upstream.next_announcement_at = now_ + announcement_interval;
        gossip_effects effects;
        processes_[upstream.entry].node->on_announcement(upstream.announcement, now_, effects);
        apply_effects(upstream.entry, effects);
    }

    void tick(std::size_t index)
    {
        auto& process = processes_[index];
        if (!process.running || now_ < process.next_tick_at)
            return;
        process.next_tick_at += tick_interval;
        gossip_effects effects;
        process.node->tick(now_, effects);
        apply_effects(index, effects);
    }

    void deliver_until(time_point end)
    {
        while (!queue_.empty() && queue_.top().arrives_at <= end) {
            const auto next = queue_.top();
            queue_.pop();
            now_ = std::max(now_, next.arrives_at);
            auto& receiver = processes_[next.to];
            if (!receiver.running || isolated_.contains(next.from) != isolated_.contains(next.to))
                continue;
            receiver.received_bytes += next.payload.size();
            const auto message = wire::decode<gossip_message>(next.payload);
            GN_INVARIANT(message.has_value(), {"size", next.payload.size()});
            gossip_effects effects;
            receiver.node->receive(key_of(processes_[next.from].settings.id), message.value(), now_,
                                   effects);
            apply_effects(next.to, effects);
        }
    }

    void apply_effects(std::size_t from, const gossip_effects& effects)
    {
        expiries_ += effects.upstreams.expired.size();
        for (const auto& sent : effects.send) {
            ++messages_;
            const auto payload = wire::encode(sent.message);
            GN_INVARIANT(payload.size() < max_payload_bytes, {"size", payload.size()});
            enqueue(from, index_by_key_.at(sent.to), payload);
            if (occurs(settings_.faults.duplication))
                enqueue(from, index_by_key_.at(sent.to), payload);
        }
    }

    void enqueue(std::size_t from, std::size_t to, const std::string& payload)
    {
        if (occurs(settings_.faults.loss))
            return;
        const auto delay_range = settings_.faults.max_delay - settings_.faults.min_delay;
        const auto random_delay = std::chrono::microseconds{static_cast<std::int64_t>(
            random_() % static_cast<std::uint64_t>(delay_range.count() + 1))};
        queue_.push(
            {now_ + settings_.faults.min_delay + random_delay, ++enqueued_, from, to, payload});
    }

    bool occurs(double probability)
    {
        return probability > 0 &&
               std::uniform_real_distribution<double>{0, 1}(random_) < probability;
    }

    static constexpr std::size_t max_payload_bytes = 1300;

    simulation_settings settings_;
    std::mt19937_64 random_;
    state_chart chart_;
    time_point now_{std::chrono::seconds{100}};
    std::vector<process> processes_;
    std::vector<simulated_upstream> upstreams_;
    std::map<member_key, std::size_t> index_by_key_;
    std::priority_queue<datagram, std::vector<datagram>, std::greater<>> queue_;
    std::set<std::size_t> isolated_;
    std::uint64_t enqueued_{0};
    std::uint64_t messages_{0};
    std::uint64_t expiries_{0};
};

} // namespace galenaturn::membership
