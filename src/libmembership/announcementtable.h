#pragma once

#include <galenaturn/messages.h>

#include <map>
#include <string>
#include <vector>

namespace galenaturn::membership {

/** How often upstreams are asked to announce themselves. */
constexpr std::chrono::milliseconds announcement_interval{500};
/** Longer than four announcement intervals: a lost announcement never ejects an upstream. */
constexpr std::chrono::milliseconds announcement_ttl{2500};
/** How long an expired upstream is kept, so that a delayed announcement does not restore it. */
constexpr std::chrono::seconds expired_retention{60};

/** What this process knows of one upstream. */
struct upstream_record {
    wire::upstream_announcement last_announcement;
    /** When the latest announcement or departure was received. */
    time_point last_seen;
    /** When the upstream expires, unless it is announced or confirmed before. */
    time_point expires_at;
    /** State of charts/upstream.yaml; that of an expired upstream is named "lapsed". */
    std::string state;
};

/** Result of handling one announcement. */
enum class announcement_outcome : std::uint8_t {
    /** First announcement of its upstream, different content, or restores an expired upstream. */
    changed,
    /** Later than the last one with the same content. */
    refreshed,
    /** Same incarnation and sequence number as the last one. */
    duplicate,
    /** Earlier incarnation or lower sequence number than the last one. */
    outdated,
    /** Not leaving, although the upstream has announced its leaving in the same incarnation. */
    already_leaving,
};

/** Changes that the owner of the table is to publish. */
struct upstream_events {
    std::vector<wire::upstream_announcement> announced;
    std::vector<upstream_id> expired;
};

/** Returns whether `left` has a later incarnation, or the same one and a higher sequence number. */
bool is_later(const wire::upstream_announcement& left, const wire::upstream_announcement& right);
/** Returns whether the two differ in more than their sequence number. */
bool content_differs(const wire::upstream_announcement& left,
                     const wire::upstream_announcement& right);

/** The upstreams known to one process, with the state of charts/upstream.yaml for each. */
class announcement_table {
public:
    /** `chart` is charts/upstream.yaml, checked against action_names(). */
    explicit announcement_table(state_chart chart);

    /** Returns the names of the actions that the chart may use. */
    static std::vector<std::string> action_names();

    /** Handles an announcement and adds the resulting changes to `events`. */
    announcement_outcome on_announcement(const wire::upstream_announcement& announcement,
                                         time_point received_at, time_point expires_at,
                                         upstream_events& events);
    /**
     * Handles the report that an upstream was leaving, or had expired, as of the announcement
     * `last`. Returns false if a later announcement is known. An unknown upstream is recorded as
     * expired, but not published.
     */
    bool on_departure(const wire::upstream_announcement& last, bool expired, time_point received_at,
                      upstream_events& events);
    /** Extends the expiry of an upstream that has not expired, without an announcement. */
    void extend_expiry(const upstream_id& id, time_point expires_at);
    /** Restores an expired upstream whose host confirmed it after all. */
    void reactivate(const upstream_id& id, time_point expires_at, upstream_events& events);
    /** Sets the load and sequence number of a later announcement that changed nothing else. */
    void update_load(const upstream_id& id, std::uint64_t sequence, std::uint32_t busy_slots,
                     upstream_events& events);
    /** Expires upstreams whose time has passed; forgets expired ones after their retention. */
    void expire(time_point now, upstream_events& events);

    [[nodiscard]] const upstream_record* find(const upstream_id& id) const;
    [[nodiscard]] const std::map<upstream_id, upstream_record>& records() const { return records_; }

private:
    struct transition;
    static const chart_actions<transition>& actions();
    void apply(upstream_record& record, std::string_view event, upstream_events& events);

    state_chart chart_;
    std::map<upstream_id, upstream_record> records_;
};

const char* to_string(announcement_outcome outcome);

} // namespace galenaturn::membership
