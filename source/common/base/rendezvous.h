// Draws among named candidates by rendezvous hashing: everybody who knows the
// same candidates draws the same ones, without messages, and few draws change
// when a candidate comes or goes.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace juniperway {

// How many of `candidates` are drawn before `candidate` for `key`. The order is
// another one for each key.
std::size_t RendezvousRank(const std::string& candidate,
                           const std::vector<std::string>& candidates,
                           const std::string& key);

}  // namespace juniperway
