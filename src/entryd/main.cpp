#include "announcementservice.h"
#include "catalogueservice.h"
#include "entryhub.h"
#include "gossipservice.h"
#include "jobrelay.h"
#include "operatorservice.h"
#include "requestservice.h"

#include "platform/calleredge.h"

#include <galenaturn/daemon.h>

namespace {

using namespace galenaturn;

using service_list = std::vector<std::unique_ptr<daemon::service>>;

/** Creates the services of a process whose settings list all members. */
service_list make_static_services(daemon::context& shared, entryd::entry_hub& hub)
{
    service_list services;
    auto gossip = std::make_unique<entryd::gossip_service>(shared, hub);
    services.push_back(std::make_unique<entryd::announcement_service>(shared, *gossip));
    services.push_back(std::make_unique<entryd::operator_service>(
        shared, hub, entryd::make_operator_ledger(shared)));
    services.push_back(std::make_unique<entryd::catalogue_service>(shared, hub));
    services.push_back(std::make_unique<entryd::request_service>(shared, hub));
    // Started last, since its start publishes events to the services above.
    services.push_back(std::move(gossip));
    return services;
}

/** Creates the services of a process that joins through seeds and serves a platform's callers. */
service_list make_joining_services(daemon::context& shared)
{
    service_list services;
    auto roster = std::make_unique<daemon::roster_service>(shared);
    auto relay = std::make_unique<entryd::job_relay>(shared, *roster);
    auto* target = relay.get();
    platform::add_readiness_route(shared.routes, [target] { return target->ready(); });
    platform::add_caller_routes(
        shared.routes,
        [target](wire::job_request request, time_point deadline) {
            return target->forward(std::move(request), deadline);
        },
        [&shared](time_point now) { return shared.pauses.input_waits_since(now); }, shared.metrics);
    services.push_back(std::move(roster));
    services.push_back(std::move(relay));
    return services;
}

} // namespace

int main(int argc, char** argv)
{
    entryd::entry_hub hub;
    return daemon::run(argc, argv, process_role::entry, [&hub](daemon::context& shared) {
        return shared.settings.join ? make_joining_services(shared)
                                    : make_static_services(shared, hub);
    });
}
