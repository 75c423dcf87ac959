#pragma once

#include "membertable.h"
#include "tokenbucket.h"
#include "upstreamdirectory.h"

#include <random>

namespace galenaturn::membership {

/** What one process spends on gossip, counted with the headers of IP, UDP and the datagram. */
struct gossip_budget {
    /** Routine traffic; with `join_rate` it stays below 4096 bytes a second. */
    bytes rate{3400};
    /** Two datagrams for each of eight neighbours. */
    bytes depth{16 << 10};
    /** Answers to processes that start, so that these know everything at once. */
    bytes join_rate{500};
    bytes join_depth{80 << 10};
};

/** What a node is told at its start. */
struct gossip_settings {
    member_settings self;
    std::vector<member_settings> members;
    /** Later than that of any earlier start of the process. */
    std::uint64_t boot{0};
    gossip_budget budget;
};

/** A datagram to be sent. */
struct outgoing {
    member_key to{0};
    gossip_message message;
};

/** What a step asks its owner to do. */
struct gossip_effects {
    std::vector<outgoing> send;
    table_events upstreams;
    /** The status of a member changed. */
    bool members_changed{false};
};

/** Counts of one node. */
struct gossip_counts {
    std::uint64_t over_budget{0};
    std::uint64_t suspected{0};
    std::uint64_t from_unknown{0};
    std::uint64_t budgeted_bytes{0};
};

/** Returns the bytes that `message` takes on the wire between two members, headers included. */
std::size_t wire_size(const gossip_message& message, const member_settings& sender);

/**
 * Membership of our processes, and upstreams among the entries of a domain. Owns neither clock nor
 * socket: each step takes the time and returns what to send.
 */
class gossip_node {
public:
    /** `chart` is charts/upstream.yaml. */
    gossip_node(gossip_settings settings, state_chart chart, std::mt19937_64 random);

    /** Asks the other entries of the domain for what they host. */
    void join(time_point now, gossip_effects& effects);
    /** Takes an announcement that an upstream made to this process. */
    announcement_outcome hear(const wire::upstream_announcement& announcement, time_point now,
                              gossip_effects& effects);
    void receive(member_key from, const gossip_message& message, time_point now,
                 gossip_effects& effects);
    /** Does what is due. Called at least every 100 ms. */
    void tick(time_point now, gossip_effects& effects);

    [[nodiscard]] const member_table& members() const { return members_; }
    [[nodiscard]] const upstream_directory& upstreams() const { return upstreams_; }
    [[nodiscard]] const gossip_counts& counts() const { return counts_; }

private:
    struct pending_ping {
        member_key target{0};
        time_point indirect_at;
        time_point suspect_at;
        bool indirect_sent{false};
        /** Where another process asked for the ping: who, and the number of its own. */
        member_key asked_by{0};
        std::uint32_t asked_sequence{0};
    };
    struct peer_state {
        knowledge known;
        /** What was known before the message that was made last. */
        knowledge known_before;
        std::map<upstream_id, std::uint32_t> sent_loads;
    };

    [[nodiscard]] bool is_neighbour(member_key key) const;
    gossip_message make(gossip_kind kind, member_key to, std::uint32_t sequence, time_point now);
    void add_changes(gossip_message& message, member_key to, time_point now);
    void add_digests(gossip_message& message, member_key to, time_point now);
    /** Sends within the budget; returns false where it is spent. */
    bool send(member_key to, gossip_message message, token_bucket& bucket, time_point now,
              gossip_effects& effects);
    void ping(member_key to, time_point now, gossip_effects& effects);
    void ping_for(member_key asked_by, const gossip_message& request, time_point now,
                  gossip_effects& effects);
    void learn_digests(member_key from, const std::vector<origin_digest>& digests);
    void answer_join(member_key from, time_point now, gossip_effects& effects);
    void answer_ack(const gossip_message& message, time_point now, gossip_effects& effects);
    void learn(member_key from, const gossip_message& message, time_point now,
               gossip_effects& effects);
    /** Tells the neighbours of departures that they lack, at most once in push_interval. */
    void push_departures(time_point now, gossip_effects& effects);
    /** Sends what a neighbour has shown to lack, without waiting for the next exchange. */
    void push_missing(member_key to, time_point now, gossip_effects& effects);
    void check_pings(time_point now, gossip_effects& effects);
    void ask_others(std::uint32_t sequence, const pending_ping& waiting, time_point now,
                    gossip_effects& effects);
    /** Returns the next member of a shuffled round, or 0 where there is none. */
    member_key next_of(std::vector<member_key>& round, bool neighbours_only);

    gossip_settings settings_;
    std::mt19937_64 random_;
    member_table members_;
    upstream_directory upstreams_;
    token_bucket routine_;
    token_bucket joins_;
    std::map<member_key, peer_state> peers_;
    std::map<std::uint32_t, pending_ping> pings_;
    std::vector<member_key> neighbour_round_;
    std::vector<member_key> member_round_;
    time_point next_exchange_;
    time_point next_probe_;
    time_point next_push_;
    bool push_due_{false};
    std::uint32_t last_sequence_{0};
    member_key digest_cursor_{0};
    gossip_counts counts_;
};

} // namespace galenaturn::membership
