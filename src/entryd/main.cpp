#include "announcementservice.h"
#include "gossipservice.h"

#include <galenaturn/daemon.h>

int main(int argc, char** argv)
{
    using namespace galenaturn;
    entryd::entry_hub hub;
    return daemon::run(argc, argv, process_role::entry, [&hub](daemon::context& shared) {
        std::vector<std::unique_ptr<daemon::service>> services;
        auto gossip = std::make_unique<entryd::gossip_service>(shared, hub);
        services.push_back(std::make_unique<entryd::announcement_service>(shared, *gossip));
        services.push_back(std::move(gossip));
        return services;
    });
}
