#pragma once

#include <galenaturn/daemon.h>

namespace galenaturn::controld {

/** Takes part in the membership protocol, so that others detect whether this process is alive. */
class gossip_service : public daemon::service {
public:
    explicit gossip_service(daemon::context& shared)
        : runner_{shared, [](const membership::gossip_effects&) {}}
    {
    }

    result<void> start() override { return runner_.start(); }

private:
    daemon::gossip_runner runner_;
};

} // namespace galenaturn::controld
