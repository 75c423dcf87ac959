#pragma once

#include "ledgererrors.h"
#include "ledgerstate.h"

namespace galenaturn::ledger {

/** Format version that encode_snapshot writes. decode_snapshot reads all earlier versions too. */
constexpr std::uint32_t snapshot_version = 5;

/** Returns the replicated state, encoded in the current format. */
std::string encode_snapshot(const ledger_state& state);
/**
 * Returns the state from a snapshot of any known format. Errors: unknown_snapshot_version if a
 * newer program wrote it, corrupted if the bytes are no valid snapshot.
 */
result<ledger_state> decode_snapshot(std::string_view snapshot);
/** Returns the format version of a snapshot, or 0 if the bytes are too short. */
std::uint32_t read_snapshot_version(std::string_view snapshot);

} // namespace galenaturn::ledger
