#include "assignerservice.h"
#include "controlhub.h"
#include "gossipservice.h"
#include "ledgerservice.h"
#include "stewardservice.h"

#include <galenaturn/daemon.h>

int main(int argc, char** argv)
{
    using namespace galenaturn;
    controld::control_hub hub;
    return daemon::run(argc, argv, process_role::control, [&hub](daemon::context& shared) {
        std::vector<std::unique_ptr<daemon::service>> services;
        services.push_back(std::make_unique<controld::ledger_service>(shared, hub));
        services.push_back(std::make_unique<controld::assigner_service>(shared, hub));
        services.push_back(std::make_unique<controld::steward_service>(shared, hub));
        services.push_back(std::make_unique<controld::gossip_service>(shared));
        return services;
    });
}
