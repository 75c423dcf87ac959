#pragma once

#include "ledgererrors.h"
#include "ledgerstate.h"

namespace galenaturn::ledger {

/** The format that write_image writes. Each version that was ever written has a reader. */
constexpr std::uint32_t snapshot_version = 2;

/** Returns the replicated state as bytes of the present format. */
std::string encode_snapshot(const ledger_state& state);
/**
 * Returns the state in an image of any known format. unknown_image_version: a newer program wrote
 * it. corrupted: the bytes are not an image.
 */
result<ledger_state> decode_snapshot(std::string_view snapshot);
/** Returns the format version of an image, or 0 where the bytes are too short. */
std::uint32_t read_snapshot_version(std::string_view snapshot);

} // namespace galenaturn::ledger
