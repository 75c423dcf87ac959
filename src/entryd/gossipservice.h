#pragma once

#include "entryhub.h"

#include <galenaturn/daemon.h>

namespace galenaturn::entryd {

/** Runs the gossip protocol; publishes changes of upstreams and of live entries of the domain. */
class gossip_service : public daemon::service {
public:
    gossip_service(daemon::context& shared, entry_hub& hub);

    result<void> start() override;

    /** Handles an announcement that this entry received from an upstream. */
    membership::announcement_outcome
    on_announcement(const wire::upstream_announcement& announcement);
    [[nodiscard]] const membership::announcement_table& upstreams() const;
    [[nodiscard]] const membership::member_table& members() const;

private:
    void publish_changes(const membership::gossip_effects& effects);
    void publish_entries();

    daemon::context& shared_;
    entry_hub& hub_;
    daemon::gossip_runner runner_;
    std::vector<live_entry> entries_;
    std::map<membership::announcement_outcome, counter*> outcomes_;
    counter& expired_;
};

} // namespace galenaturn::entryd
