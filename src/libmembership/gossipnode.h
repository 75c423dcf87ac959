#pragma once

#include "membertable.h"
#include "tokenbucket.h"
#include "upstreamdirectory.h"

#include <random>

namespace galenaturn::membership {

/** Limits on the bytes that one process sends, with the headers of IP, UDP and the datagram. */
struct gossip_budget {
    /** Routine traffic in bytes per second; together with `join_rate` it stays below 4096. */
    bytes rate{3400};
    /** Burst of routine traffic: two datagrams for each of eight neighbours. */
    bytes burst{16 << 10};
    /** Bytes per second for responses to starting processes, which need all upstreams at once. */
    bytes join_rate{500};
    bytes join_burst{80 << 10};
};

/** Configuration of a node. */
struct gossip_settings {
    member_settings self;
    std::vector<member_settings> members;
    /** Wall clock time of this start; the number must be higher than that of any earlier start. */
    std::uint64_t start_number{0};
    gossip_budget budget;
};

/** A datagram to be sent. */
struct outgoing_message {
    member_key to{0};
    gossip_message message;
};

/** What the owner of a node has to do after a call. */
struct gossip_effects {
    std::vector<outgoing_message> send;
    upstream_events upstreams;
    /** Whether the status of a member changed. */
    bool members_changed{false};
};

/** Totals of one node since its start. */
struct gossip_counts {
    /** Messages not sent because the budget was used up. */
    std::uint64_t over_budget{0};
    /** Members that this process marked as suspect. */
    std::uint64_t suspected{0};
    /** Messages dropped because their sender is not in the settings. */
    std::uint64_t from_unknown_sender{0};
    /** Bytes sent, headers included. */
    std::uint64_t budgeted_bytes{0};
};

/** Returns the bytes that `message` takes on the wire, headers included. */
std::size_t wire_size(const gossip_message& message, const member_settings& sender);

/**
 * Membership of all galenaturn processes by the SWIM protocol, and the upstreams of a failure
 * domain, shared among its entries. Owns neither clock nor socket: each call takes the time and
 * returns the messages to send.
 */
class gossip_node {
public:
    /** `chart` is charts/upstream.yaml. */
    gossip_node(gossip_settings settings, state_chart chart, std::mt19937_64 random);

    /** Requests the upstreams that the other entries of the domain host. */
    void join(time_point now, gossip_effects& effects);
    /** Handles an announcement that an upstream made to this process. */
    announcement_outcome on_announcement(const wire::upstream_announcement& announcement,
                                         time_point now, gossip_effects& effects);
    void receive(member_key from, const gossip_message& message, time_point now,
                 gossip_effects& effects);
    /** Runs the periodic work that is due. Called at least every 100 ms. */
    void tick(time_point now, gossip_effects& effects);

    [[nodiscard]] const member_table& members() const { return members_; }
    [[nodiscard]] const upstream_directory& upstreams() const { return upstreams_; }
    [[nodiscard]] const gossip_counts& counts() const { return counts_; }

private:
    struct pending_ping {
        member_key target{0};
        /** When other members are asked to ping the target. */
        time_point indirect_at;
        /** When the target becomes suspect; a requested ping is only dropped. */
        time_point suspect_at;
        bool indirect_sent{false};
        /** The process that requested this ping and its sequence number; 0 for an own ping. */
        member_key requester{0};
        std::uint32_t requester_sequence{0};
    };
    struct peer_state {
        /** List versions that the peer has, as far as this process knows. */
        version_vector known;
        /** `known` before the latest message was made; restored if that message is not sent. */
        version_vector known_before_last_message;
        /** Busy slots of each upstream as last sent to the peer. */
        std::map<upstream_id, std::uint32_t> sent_busy_slots;
    };

    /** Returns whether the member is another entry of the domain of this entry. */
    [[nodiscard]] bool is_neighbour(member_key key) const;
    gossip_message make_message(gossip_kind kind, member_key to, std::uint32_t sequence,
                                time_point now);
    void add_changes(gossip_message& message, member_key to, time_point now);
    void add_digests(gossip_message& message, member_key to, time_point now);
    /** Sends within the budget of `bucket`; returns false if too little of it is left. */
    bool send(member_key to, gossip_message message, token_bucket& bucket, time_point now,
              gossip_effects& effects);
    void ping(member_key to, time_point now, gossip_effects& effects);
    void on_ping_request(member_key requester, const gossip_message& request, time_point now,
                         gossip_effects& effects);
    void apply_digests(member_key from, const std::vector<origin_digest>& digests);
    void on_join(member_key from, time_point now, gossip_effects& effects);
    void on_ack(const gossip_message& message, time_point now, gossip_effects& effects);
    void apply_message(member_key from, const gossip_message& message, time_point now,
                       gossip_effects& effects);
    /** Sends the neighbours the departures that they lack, at most once per push_interval. */
    void push_departures(time_point now, gossip_effects& effects);
    /** Sends a neighbour the changes that it lacks, without waiting for the next exchange. */
    void push_missing_changes(member_key to, time_point now, gossip_effects& effects);
    void check_pings(time_point now, gossip_effects& effects);
    /** Asks randomly chosen other members to ping the target of `pending`. */
    void send_ping_requests(std::uint32_t sequence, const pending_ping& pending, time_point now,
                            gossip_effects& effects);
    /** Returns the next member of a shuffled round, which is refilled when empty; 0 for none. */
    member_key next_in_round(std::vector<member_key>& round, bool neighbours_only);

    gossip_settings settings_;
    std::mt19937_64 random_;
    member_table members_;
    upstream_directory upstreams_;
    token_bucket routine_budget_;
    token_bucket join_budget_;
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
