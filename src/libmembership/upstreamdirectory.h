#pragma once

#include "announcementtable.h"
#include "gossipmessages.h"

#include <map>
#include <vector>

namespace galenaturn::membership {

/** How long other processes keep an entry's upstreams after that entry last confirmed its lists. */
constexpr std::chrono::milliseconds confirmation_ttl{4500};

/** Versions of one origin's lists that another process is known to have. */
struct origin_versions {
    std::uint64_t start_number{0};
    list_version departures{0};
    list_version arrivals{0};
};

/** Versions of every origin's lists that another process is known to have. */
using version_vector = std::map<member_key, origin_versions>;

/**
 * The upstreams of a failure domain. The entry to which an upstream announces itself hosts it.
 * Only the host publishes the upstream's arrival and departure, as changes of two versioned lists.
 * The digest of its lists, which gossip spreads, confirms all upstreams that it hosts at once.
 */
class upstream_directory {
public:
    /** `start_number` is higher than that of any earlier start of this process. */
    upstream_directory(state_chart chart, member_key self, std::uint64_t start_number);

    /**
     * Raises the start number of this process's lists above `start_number`, so that other processes
     * replace the lists that they have of that start. Does nothing if it is not lower.
     */
    void restart_lists_after(std::uint64_t start_number);

    /** Handles an announcement that an upstream made to this process. */
    announcement_outcome on_announcement(const wire::upstream_announcement& announcement,
                                         time_point now, upstream_events& events);
    /** Expires upstreams that were not announced or confirmed in time; drops old departures. */
    void expire(time_point now, upstream_events& events);

    /** Applies changes of an origin's list, or defers them until the changes before them arrive. */
    void apply(const departure_delta& delta, time_point now, upstream_events& events);
    void apply(const arrival_delta& delta, time_point now, upstream_events& events);
    /** Applies the load of an upstream that another process hosts. */
    void apply(const load_update& update, upstream_events& events);
    /** Extends the expiry of the upstreams of each origin whose departures are all known here. */
    void apply(const std::vector<origin_digest>& digests, time_point now, upstream_events& events);

    /** Returns the list versions held here of each origin that was confirmed recently. */
    [[nodiscard]] std::vector<origin_digest> digests(time_point now) const;
    /** Returns the list versions held here of one origin; versions 0 if there are none. */
    [[nodiscard]] origin_digest digest_of(member_key origin, time_point now) const;
    /**
     * Adds the departures that `receiver` lacks to `message`, within `free_bytes`, and advances
     * `known` accordingly. Returns the bytes that remain free.
     */
    std::size_t collect_departures(member_key receiver, version_vector& known,
                                   std::size_t free_bytes, gossip_message& message) const;
    /** Does the same with arrivals, those of upstreams that this process hosts first. */
    std::size_t collect_arrivals(member_key receiver, version_vector& known, std::size_t free_bytes,
                                 gossip_message& message) const;
    /** Does the same with the departures and arrivals of this process's own lists only. */
    std::size_t collect_own(version_vector& known, std::size_t free_bytes,
                            gossip_message& message) const;
    /** Returns whether the receiver lacks a departure of any origin other than itself. */
    [[nodiscard]] bool lacks_departure(member_key receiver, const version_vector& known) const;
    /** Returns whether the receiver lacks a change of this process's own lists. */
    [[nodiscard]] bool lacks_own_changes(const version_vector& known) const;
    /** Returns whether the receiver lacks a change of any origin other than itself. */
    [[nodiscard]] bool lacks_any_change(member_key receiver, const version_vector& known) const;
    /**
     * Adds the loads that differ from those last sent to the receiver, largest difference first,
     * within `free_bytes`, and records them in `sent`.
     */
    void collect_loads(std::map<upstream_id, std::uint32_t>& sent, std::size_t free_bytes,
                       gossip_message& message) const;

    [[nodiscard]] const announcement_table& table() const { return table_; }
    /** Returns the number of upstreams that this process hosts. */
    [[nodiscard]] std::size_t hosted_count() const;
    /** Returns the number of deltas dropped because too many waited for an earlier one. */
    [[nodiscard]] std::uint64_t gaps() const { return gaps_; }

private:
    struct dated_departure {
        departure item;
        time_point recorded_at;
    };
    struct origin_lists {
        std::uint64_t start_number{0};
        std::map<list_version, arrival> arrivals;
        std::map<upstream_id, list_version> arrival_version_of;
        std::map<list_version, dated_departure> departures;
        list_version arrivals_version{0};
        list_version departures_version{0};
        /** When the origin itself last stated the versions of its lists. */
        time_point confirmed_at;
        /** Deltas received before the changes that precede them. */
        std::vector<departure_delta> deferred_departures;
        std::vector<arrival_delta> deferred_arrivals;
    };

    static std::size_t collect_departures(member_key origin, const origin_lists& lists,
                                          origin_versions& known, std::size_t free_bytes,
                                          gossip_message& message);
    static std::size_t collect_arrivals(member_key origin, const origin_lists& lists,
                                        origin_versions& known, std::size_t free_bytes,
                                        gossip_message& message);
    /**
     * Returns the lists of another origin, emptied if `start_number` is that of a later start;
     * nullptr for this process and for an earlier start of the origin.
     */
    origin_lists* lists_for(member_key origin, std::uint64_t start_number);
    void add_arrival(origin_lists& lists, const arrival& item);
    void add_departure(origin_lists& lists, const departure& item, time_point now);
    static void remove_arrival(origin_lists& lists, const upstream_id& id);
    /** Publishes that this process hosts an upstream. */
    void start_hosting(const wire::upstream_announcement& announcement);
    /** Publishes that this process no longer hosts an upstream. */
    void stop_hosting(const upstream_id& id, departure_kind kind, time_point now);
    /** Publishes the arrival of an upstream again after another process published outdated data. */
    void republish_arrival(const upstream_id& id);
    [[nodiscard]] bool hosts(const upstream_id& id) const;
    void apply_in_order(origin_lists& lists, const departure_delta& delta, time_point now,
                        upstream_events& events);
    void apply_in_order(origin_lists& lists, const arrival_delta& delta, time_point now,
                        upstream_events& events);
    template <class Delta>
    void apply_or_defer(origin_lists& lists, std::vector<Delta>& deferred, list_version& version,
                        const Delta& delta, time_point now, upstream_events& events);
    void apply_departure(member_key origin, const departure& item, time_point now,
                         upstream_events& events);
    void apply_arrival(member_key origin, const arrival& item, time_point now,
                       upstream_events& events);
    /** Extends the expiry of the upstreams that `origin` hosts; restores those that expired. */
    void confirm(member_key origin, origin_lists& lists, time_point stated_at, time_point now,
                 upstream_events& events);
    /** Drops departures after their retention, and hashes of forgotten upstreams. */
    void prune(time_point now);

    announcement_table table_;
    member_key self_;
    std::map<member_key, origin_lists> origins_;
    /** The process that hosts each upstream. */
    std::map<upstream_id, member_key> host_of_;
    /** Upstreams that expired here because their host was not confirmed in time, and that host. */
    std::map<upstream_id, member_key> unconfirmed_;
    std::map<std::uint32_t, upstream_id> id_by_hash_;
    std::uint64_t gaps_{0};
};

} // namespace galenaturn::membership
