#pragma once

#include "daemon.h"

#include <galenaturn/membership.h>

#include <boost/asio/steady_timer.hpp>

namespace galenaturn::daemon {

/** Gives a gossip node its clock, its socket and its metrics. */
class gossip_runner {
public:
    /** Takes what a step of the node changed; called after its datagrams are sent. */
    using subscriber = std::function<void(const membership::gossip_effects&)>;

    gossip_runner(context& shared, subscriber changed);

    /** Loads charts/upstream.yaml, opens the UDP port and asks the neighbours for all they host. */
    result<void> start();
    /** Takes an announcement that an upstream made to this process. Called after start(). */
    membership::announcement_outcome hear(const wire::upstream_announcement& announcement);
    [[nodiscard]] const membership::gossip_node& node() const { return *node_; }

private:
    void receive(const wire::hello& from, std::string_view payload);
    void tick();
    void carry_out(const membership::gossip_effects& effects);
    void update_metrics(time_point now);

    context& shared_;
    subscriber changed_;
    wire::datagram_channel channel_;
    boost::asio::steady_timer timer_;
    std::unique_ptr<membership::gossip_node> node_;
    time_point metrics_updated_;
    std::uint64_t bytes_at_update_{0};
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
