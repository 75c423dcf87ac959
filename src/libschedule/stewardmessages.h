#pragma once

#include <galenaturn/messages.h>

#include <cstdint>

namespace galenaturn::schedule {

/** Capacity and load of a failure domain, as its steward reports them to the assigner. */
struct domain_load {
    resources capacity;
    resources free;
    /**
     * Largest free amount and largest capacity of each resource on any worker; the maxima of
     * different resources may belong to different workers.
     */
    resources largest_free;
    resources largest_worker;
    std::uint32_t workers{0};
    std::uint32_t quarantined{0};
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    /** Sum of the resources that the waiting tasks reserve once placed. */
    resources waiting_demand;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(capacity, free, largest_free, largest_worker, workers, quarantined, running,
                waiting, waiting_demand);
    }
};

/** Sent by each control process to the ledger's leader to obtain or renew its stewardship. */
struct steward_heartbeat {
    process_id process;
    failure_domain_id domain;
    incarnation process_incarnation;
    heartbeat_number number;
    /** The stewardship that this incarnation of the process holds; 0 for none. */
    epoch stewardship;
    /** Index of the last ledger command whose assignments are included in `load`. */
    log_index applied_index;
    domain_load load;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(process, domain, process_incarnation, number, stewardship, applied_index, load);
    }
};

/**
 * The leader's response. If the steward still holds the stewardship named here, the hold times of
 * the domain's tasks count from when it sent heartbeat `number`.
 */
struct steward_heartbeat_response {
    heartbeat_number number;
    /** The stewardship granted to this incarnation of the process; 0 while it has none. */
    epoch stewardship;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(number, stewardship);
    }
};

} // namespace galenaturn::schedule
