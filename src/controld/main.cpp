#include "assignerservice.h"
#include "controlhub.h"
#include "gossipservice.h"
#include "jobservice.h"
#include "ledgerservice.h"
#include "queuepublication.h"
#include "stewardservice.h"

#include "platform/controledge.h"
#include "platform/workerclient.h"

#include <galenaturn/daemon.h>

namespace {

using namespace galenaturn;

using service_list = std::vector<std::unique_ptr<daemon::service>>;

/** Maximum time that an operator's request waits for a quorum. */
constexpr duration publish_timeout = std::chrono::milliseconds{900};

/** Returns the services of a process whose settings list all members. */
service_list make_services_with_listed_members(daemon::context& shared, controld::control_hub& hub)
{
    service_list services;
    services.push_back(std::make_unique<controld::ledger_service>(shared, hub));
    services.push_back(std::make_unique<controld::assigner_service>(shared, hub));
    services.push_back(std::make_unique<controld::steward_service>(shared, hub));
    services.push_back(std::make_unique<controld::gossip_service>(shared));
    return services;
}

/** Returns the services of a process that joins via seeds and runs jobs on platform workers. */
service_list make_services_with_seeds(daemon::context& shared, controld::control_hub& hub)
{
    service_list services;
    services.push_back(std::make_unique<controld::ledger_service>(shared, hub));
    auto roster = std::make_unique<daemon::roster_service>(shared);
    auto jobs = std::make_unique<controld::job_service>(
        shared, hub, *roster, std::make_unique<platform::worker_client>(shared.io, shared.metrics),
        platform::read_queue_table);
    platform::control_handlers handlers;
    handlers.on_worker_announcement = [target = jobs.get()](const wire::worker_presence& presence) {
        target->on_announcement(presence);
    };
    handlers.publish = [&hub](wire::publish_queues queues) {
        return controld::publish_queues(&hub, std::move(queues), monotonic_now() + publish_timeout);
    };
    handlers.newest = [&shared, &hub] {
        return controld::read_newest_queues(&hub, &shared.ledger,
                                            monotonic_now() + publish_timeout);
    };
    platform::add_control_routes(shared.routes, std::move(handlers), shared.metrics);
    services.push_back(std::move(roster));
    services.push_back(std::move(jobs));
    return services;
}

} // namespace

int main(int argc, char** argv)
{
    controld::control_hub hub;
    return daemon::run(argc, argv, process_role::control, [&hub](daemon::context& shared) {
        return shared.settings.join ? make_services_with_seeds(shared, hub)
                                    : make_services_with_listed_members(shared, hub);
    });
}
