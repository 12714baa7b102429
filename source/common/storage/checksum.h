// Hashes over stored rows, to find damage that leaves SQLite's pages intact.
#pragma once

#include <cstdint>

#include "common/raft/types.h"

namespace juniperway::storage {

std::uint64_t Checksum(const raft::HardState& hard_state);
std::uint64_t Checksum(const raft::Snapshot& snapshot);
std::uint64_t Checksum(const raft::Entry& entry);

}  // namespace juniperway::storage
