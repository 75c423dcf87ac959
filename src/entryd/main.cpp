#include "announcementservice.h"
#include "catalogueservice.h"
#include "entryhub.h"
#include "gossipservice.h"
#include "operatorservice.h"
#include "requestservice.h"

#include <galenaturn/daemon.h>

int main(int argc, char** argv)
{
    using namespace galenaturn;
    entryd::entry_hub hub;
    return daemon::run(argc, argv, process_role::entry, [&hub](daemon::context& shared) {
        std::vector<std::unique_ptr<daemon::service>> services;
        auto gossip = std::make_unique<entryd::gossip_service>(shared, hub);
        services.push_back(std::make_unique<entryd::announcement_service>(shared, *gossip));
        services.push_back(
            std::make_unique<entryd::operator_service>(shared, hub, entryd::ledger_of(shared)));
        services.push_back(std::make_unique<entryd::catalogue_service>(shared, hub));
        services.push_back(std::make_unique<entryd::request_service>(shared, hub));
        // Last, since its start publishes to the services above.
        services.push_back(std::move(gossip));
        return services;
    });
}
