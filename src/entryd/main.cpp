#include "entryhub.h"
#include "requestservice.h"

#include <galenaturn/daemon.h>

int main(int argc, char** argv)
{
    using namespace galenaturn;
    entryd::entry_hub hub;
    return daemon::run(argc, argv, process_role::entry, [&hub](daemon::context& shared) {
        std::vector<std::unique_ptr<daemon::service>> services;
        services.push_back(std::make_unique<entryd::request_service>(shared, hub));
        return services;
    });
}
