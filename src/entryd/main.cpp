#include "catalogueservice.h"
#include "entryhub.h"
#include "operatorservice.h"

#include <galenaturn/daemon.h>

int main(int argc, char** argv)
{
    using namespace galenaturn;
    entryd::entry_hub hub;
    return daemon::run(argc, argv, process_role::entry, [&hub](daemon::context& shared) {
        std::vector<std::unique_ptr<daemon::service>> services;
        services.push_back(std::make_unique<entryd::catalogue_service>(shared, hub));
        services.push_back(
            std::make_unique<entryd::operator_service>(shared, hub, entryd::ledger_of(shared)));
        return services;
    });
}
