#pragma once

#include "entryhub.h"

#include <galenaturn/daemon.h>
#include <galenaturn/membership.h>

#include <boost/asio/steady_timer.hpp>

namespace galenaturn::entryd {

/** Tells the other entries what this one hears, and publishes what all of them hear. */
class gossip_service : public daemon::service {
public:
    gossip_service(daemon::context& shared, entry_hub& hub);

    result<void> start() override;

    /** Takes an announcement that an upstream made to this entry. */
    membership::announcement_outcome hear(const wire::upstream_announcement& announcement);
    [[nodiscard]] const membership::announcement_table& upstreams() const { return *table_; }

private:
    void receive(const wire::hello& from, std::string_view payload);
    membership::announcement_outcome take(const wire::upstream_announcement& announcement);
    void forward(const wire::upstream_announcement& announcement);
    void tick();
    void publish_events(const membership::table_events& events);

    daemon::context& shared_;
    entry_hub& hub_;
    wire::datagram_channel channel_;
    boost::asio::steady_timer timer_;
    std::unique_ptr<membership::announcement_table> table_;
    std::map<membership::announcement_outcome, counter*> outcomes_;
    counter& lapsed_;
};

} // namespace galenaturn::entryd
