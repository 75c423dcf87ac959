#pragma once

#include "entryhub.h"

#include <galenaturn/daemon.h>

namespace galenaturn::entryd {

/** Publishes which upstreams and which entries of the domain there are, as gossip tells them. */
class gossip_service : public daemon::service {
public:
    gossip_service(daemon::context& shared, entry_hub& hub);

    result<void> start() override;

    /** Takes an announcement that an upstream made to this entry. */
    membership::announcement_outcome hear(const wire::upstream_announcement& announcement);
    [[nodiscard]] const membership::announcement_table& upstreams() const;
    [[nodiscard]] const membership::member_table& members() const;

private:
    void take_changes(const membership::gossip_effects& effects);
    void publish_entries();

    daemon::context& shared_;
    entry_hub& hub_;
    daemon::gossip_runner runner_;
    std::vector<live_entry> entries_;
    std::map<membership::announcement_outcome, counter*> outcomes_;
    counter& lapsed_;
};

} // namespace galenaturn::entryd
