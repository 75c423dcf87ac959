#pragma once

#include <galenaturn/messages.h>

#include <cstdint>

namespace galenaturn::schedule {

/** What a failure domain holds and could still hold. */
struct domain_load {
    resources capacity;
    resources free;
    /** Largest free amounts on any one worker, and the largest worker's own sizes. */
    resources largest_free;
    resources largest_worker;
    std::uint32_t workers{0};
    std::uint32_t quarantined{0};
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    /** What the waiting tasks ask for. */
    resources waiting_demand;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(capacity, free, largest_free, largest_worker, workers, quarantined, running,
                waiting, waiting_demand);
    }
};

/** Sent by each control process to the ledger's leader; renews the stewardship that it holds. */
struct steward_heartbeat {
    process_id process;
    failure_domain_id domain;
    incarnation life;
    heartbeat_number number;
    /** The stewardship that this life of the process holds; 0 for none. */
    epoch stewardship;
    /** Last command of the ledger whose assignments this steward's load already counts. */
    log_index applied;
    domain_load load;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(process, domain, life, number, stewardship, applied, load);
    }
};

/**
 * The leader's answer. It anchors the holds of the domain's tasks at the sending of heartbeat
 * `number`, for a steward that holds just the stewardship it names.
 */
struct steward_heartbeat_answer {
    heartbeat_number number;
    /** The stewardship granted to this life of the process; 0 while it has none. */
    epoch stewardship;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(number, stewardship);
    }
};

} // namespace galenaturn::schedule
