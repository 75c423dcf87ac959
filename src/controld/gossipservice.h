#pragma once

#include <galenaturn/daemon.h>

namespace galenaturn::controld {

/** Takes part in the membership, so that the others see whether this process lives. */
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
