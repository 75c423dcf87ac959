#pragma once

#include "daemon.h"

#include <galenaturn/membership.h>
#include <galenaturn/wire.h>

namespace galenaturn::daemon {

/** Runs a gossip node with a clock, a UDP socket and metrics. */
class gossip_runner {
public:
    /** Called with the effects of each call of the node, after its datagrams were sent. */
    using effects_handler = std::function<void(const membership::gossip_effects&)>;

    gossip_runner(context& shared, effects_handler on_effects);

    /** Loads charts/upstream.yaml, opens the UDP port and requests the neighbours' upstreams. */
    result<void> start();
    /** Handles an announcement that an upstream made to this process. Called after start(). */
    membership::announcement_outcome
    on_announcement(const wire::upstream_announcement& announcement);
    [[nodiscard]] const membership::gossip_node& node() const { return *node_; }

private:
    void receive(const wire::hello& from, std::string_view payload);
    void tick();
    void apply_effects(const membership::gossip_effects& effects);
    void update_metrics(time_point now);

    context& shared_;
    effects_handler on_effects_;
    wire::datagram_channel channel_;
    wire::boot_timer timer_;
    std::unique_ptr<membership::gossip_node> node_;
    time_point metrics_updated_at_;
    std::uint64_t bytes_at_metrics_update_{0};
    counter& malformed_;
    counter& over_budget_;
    counter& from_unknown_;
    counter& suspected_;
    counter& refuted_;
    counter& gaps_;
    gauge& bytes_per_second_;
    std::map<membership::member_status, gauge*> members_;
    std::map<std::string, gauge*> upstreams_;
};

} // namespace galenaturn::daemon
