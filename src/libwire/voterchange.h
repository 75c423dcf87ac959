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
    /** For `add` may be empty: the id that the process gave itself. */
    voter_id voter;
    /** For `promote` and `remove` may stand in place of `voter` where it is clear. */
    process_id process;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(kind, voter, process);
    }
};

} // namespace galenaturn::wire
