#pragma once

#include "entryhub.h"
#include "keyedrequests.h"

#include <galenaturn/daemon.h>

#include <memory>

namespace galenaturn::entryd {

/** Serves ANY /v1/services/{service}/{path...}: admits, routes, retries and answers. */
class request_service : public daemon::service {
public:
    /** Subscribes to `hub`. Both arguments outlive the service. */
    request_service(daemon::context& shared, entry_hub& hub);
    /** Uses `ledger` instead of the ledger of `shared`, for tests. */
    request_service(daemon::context& shared, entry_hub& hub, key_ledger ledger);

    result<void> start() override;

private:
    struct pipeline;
    std::shared_ptr<pipeline> pipeline_;
};

} // namespace galenaturn::entryd
