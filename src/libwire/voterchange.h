#pragma once

#include "codec.h"

namespace galenaturn::wire {

enum class voter_change_kind : std::uint8_t {
    /** Adds the process, under the voter id it now has, as a learner. */
    add,
    /** Makes a learner that has caught up a voter. */
    promote,
    /** Removes a voter or learner. */
    remove,
};

/** One change of the ledger's voters; answered by a command_response. */
struct voter_change_request {
    voter_change_kind kind{voter_change_kind::add};
    /** The id of the voter; for `add` it may be empty, then the process's own id is used. */
    voter_id voter;
    /** For `promote` and `remove`, may be given instead of `voter` if it identifies one voter. */
    process_id process;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(kind, voter, process);
    }
};

} // namespace galenaturn::wire
