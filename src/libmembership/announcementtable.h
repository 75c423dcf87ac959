#pragma once

#include <galenaturn/messages.h>

#include <map>
#include <string>
#include <vector>

namespace galenaturn::membership {

/** How often upstreams are asked to announce themselves. */
constexpr std::chrono::milliseconds announcement_interval{500};
/** Longer than four missed announcements, so that a lost one never ejects an upstream. */
constexpr std::chrono::milliseconds announcement_ttl{2500};
/** How long a lapsed upstream is remembered, so that a late announcement does not revive it. */
constexpr std::chrono::seconds lapsed_retention{60};

/** One upstream as this process knows it. */
struct upstream_record {
    wire::upstream_announcement last;
    time_point heard;
    /** The upstream lapses once this has passed without further evidence. */
    time_point expires;
    /** State of charts/upstream.yaml. */
    std::string state;
};

/** What became of one announcement. */
enum class announcement_outcome : std::uint8_t {
    /** First of its upstream, or other than the last one. */
    news,
    /** Later than the last one, and says the same. */
    refreshed,
    /** Same sequence as the last one. */
    duplicate,
    /** Of an earlier life, or of a lower sequence. */
    late,
    /** Says that an upstream that was leaving is not, in the same life. */
    left_before,
};

/** What a step of the table asks its owner to publish. */
struct table_events {
    std::vector<wire::upstream_announcement> announced;
    std::vector<upstream_id> lapsed;
};

/** Returns whether `left` is of a later life, or of the same life and later, than `right`. */
bool is_later(const wire::upstream_announcement& left, const wire::upstream_announcement& right);
/** Returns whether the two differ in more than their sequence. */
bool says_other(const wire::upstream_announcement& left, const wire::upstream_announcement& right);

/** The upstreams known to one process, and what the chart of upstreams says of each. */
class announcement_table {
public:
    /** `chart` is charts/upstream.yaml, checked against action_names(). */
    explicit announcement_table(state_chart chart);

    /** Returns the names of the actions that the chart may use. */
    static std::vector<std::string> action_names();

    /** Takes an announcement; what changes is added to `events`. */
    announcement_outcome hear(const wire::upstream_announcement& announcement, time_point heard,
                              time_point expires, table_events& events);
    /**
     * Takes the news that an upstream was leaving, or lapsed, at a given announcement. Returns
     * false where a later one is known. An unknown upstream is remembered, but not published.
     */
    bool depart(const wire::upstream_announcement& last, bool lapsed, time_point heard,
                table_events& events);
    /** Takes evidence that the upstream lives, without an announcement. */
    void refresh(const upstream_id& id, time_point expires);
    /** Takes evidence that a lapsed upstream lives after all. */
    void revive(const upstream_id& id, time_point expires, table_events& events);
    /** Takes the load of an upstream at a later announcement that says nothing else new. */
    void set_load(const upstream_id& id, std::uint64_t sequence, std::uint32_t busy_slots,
                  table_events& events);
    /** Lapses upstreams whose evidence has expired, forgets those long lapsed. */
    void expire(time_point now, table_events& events);

    [[nodiscard]] const upstream_record* find(const upstream_id& id) const;
    [[nodiscard]] const std::map<upstream_id, upstream_record>& records() const { return records_; }

private:
    struct transition;
    static const chart_actions<transition>& actions();
    void apply(upstream_record& record, std::string_view event, table_events& events);

    state_chart chart_;
    std::map<upstream_id, upstream_record> records_;
};

const char* to_string(announcement_outcome outcome);

} // namespace galenaturn::membership
