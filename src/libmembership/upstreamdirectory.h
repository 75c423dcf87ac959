#pragma once

#include "announcementtable.h"
#include "gossipmessages.h"

#include <map>
#include <vector>

namespace galenaturn::membership {

/** How long after its last word an entry's upstreams are kept by the others. */
constexpr std::chrono::milliseconds vouch_ttl{4500};

/** How far one process is known to know what one origin hosts. */
struct known_versions {
    std::uint64_t boot{0};
    stream_version departures{0};
    stream_version arrivals{0};
};

/** How far one process is known to know what each origin hosts. */
using knowledge = std::map<member_key, known_versions>;

/**
 * The upstreams of a domain. The entry to which an upstream announces itself hosts it: that entry
 * alone tells the others of its arrival and departure, and vouches for all that it hosts at once.
 */
class upstream_directory {
public:
    /** `boot` is later than that of any earlier start of this process. */
    upstream_directory(state_chart chart, member_key self, std::uint64_t boot);

    /** Begins this process's lists anew where others hold lists of a start with that number. */
    void outlive(std::uint64_t boot);

    /** Takes an announcement that an upstream made to this process. */
    announcement_outcome hear(const wire::upstream_announcement& announcement, time_point now,
                              table_events& events);
    void expire(time_point now, table_events& events);

    void apply(const departure_delta& delta, time_point now, table_events& events);
    void apply(const arrival_delta& delta, time_point now, table_events& events);
    void apply(const load_update& update, table_events& events);
    /** Takes what others vouch for. */
    void apply(const std::vector<origin_digest>& digests, time_point now, table_events& events);

    /** Returns how far this process knows each origin that spoke lately. */
    [[nodiscard]] std::vector<origin_digest> digests(time_point now) const;
    /** Returns how far this process knows one origin; versions 0 where it knows nothing. */
    [[nodiscard]] origin_digest digest_of(member_key origin, time_point now) const;
    /**
     * Adds the departures that `receiver` lacks to `message`, within `room` bytes, and advances
     * `known` by them. Returns the room that is left.
     */
    std::size_t collect_departures(member_key receiver, knowledge& known, std::size_t room,
                                   gossip_message& message) const;
    /** Does the same with arrivals, first of all of upstreams that this process hosts. */
    std::size_t collect_arrivals(member_key receiver, knowledge& known, std::size_t room,
                                 gossip_message& message) const;
    /** Does the same with no more than what this process hosts. */
    std::size_t collect_own(knowledge& known, std::size_t room, gossip_message& message) const;
    /** Returns whether the receiver lacks a departure. */
    [[nodiscard]] bool lacks_departure(member_key receiver, const knowledge& known) const;
    /** Returns whether the receiver lacks what this process hosts. */
    [[nodiscard]] bool lacks_own(const knowledge& known) const;
    /** Returns whether the receiver lacks anything that this process knows. */
    [[nodiscard]] bool lacks_anything(member_key receiver, const knowledge& known) const;
    /** Adds loads that differ from those last sent to the receiver, within `room` bytes. */
    void collect_loads(std::map<upstream_id, std::uint32_t>& sent, std::size_t room,
                       gossip_message& message) const;

    [[nodiscard]] const announcement_table& table() const { return table_; }
    /** Returns how many upstreams this process hosts. */
    [[nodiscard]] std::size_t hosted() const;
    /** Returns how many deltas were dropped because too many waited for an earlier one. */
    [[nodiscard]] std::uint64_t gaps() const { return gaps_; }

private:
    struct dated_departure {
        departure what;
        time_point when;
    };
    struct origin_lists {
        std::uint64_t boot{0};
        std::map<stream_version, arrival> arrivals;
        std::map<upstream_id, stream_version> arrival_of;
        std::map<stream_version, dated_departure> departures;
        stream_version arrivals_version{0};
        stream_version departures_version{0};
        time_point vouched;
        /** Deltas that came before an earlier one. */
        std::vector<departure_delta> early_departures;
        std::vector<arrival_delta> early_arrivals;
    };

    static std::size_t collect_departures(member_key origin, const origin_lists& lists,
                                          known_versions& known, std::size_t room,
                                          gossip_message& message);
    static std::size_t collect_arrivals(member_key origin, const origin_lists& lists,
                                        known_versions& known, std::size_t room,
                                        gossip_message& message);
    origin_lists* lists_for(member_key origin, std::uint64_t boot);
    void add_arrival(origin_lists& lists, const arrival& what);
    void add_departure(origin_lists& lists, const departure& what, time_point now);
    static void remove_arrival(origin_lists& lists, const upstream_id& id);
    void host(const wire::upstream_announcement& announcement);
    /** Tells the others that this process hosts an upstream no more. */
    void release(const upstream_id& id, departure_kind kind, time_point now);
    /** Tells the others anew of an upstream, where one of them believes an older word of it. */
    void assert_hosting(const upstream_id& id);
    [[nodiscard]] bool hosts(const upstream_id& id) const;
    void apply_in_order(origin_lists& lists, const departure_delta& delta, time_point now,
                        table_events& events);
    void apply_in_order(origin_lists& lists, const arrival_delta& delta, time_point now,
                        table_events& events);
    template <class Delta>
    void apply_early(origin_lists& lists, std::vector<Delta>& early, stream_version& version,
                     const Delta& delta, time_point now, table_events& events);
    void apply_departure(member_key origin, const departure& what, time_point now,
                         table_events& events);
    void apply_arrival(member_key origin, const arrival& what, time_point now,
                       table_events& events);
    void vouch(member_key origin, origin_lists& lists, time_point said, time_point now,
               table_events& events);
    void drop_old(time_point now);

    announcement_table table_;
    member_key self_;
    std::map<member_key, origin_lists> origins_;
    std::map<upstream_id, member_key> hosted_by_;
    /** Upstreams that lapsed here because nobody vouched for their host, and that host. */
    std::map<upstream_id, member_key> unvouched_;
    std::map<std::uint32_t, upstream_id> by_hash_;
    std::uint64_t gaps_{0};
};

} // namespace galenaturn::membership
