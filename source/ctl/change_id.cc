#include "ctl/change_id.h"

#include <fmt/format.h>

#include <random>

namespace juniperway::ctl {

std::string MakeChangeId() {
  std::random_device device;
  std::string id = "ctl-";
  constexpr int kWords = 4;
  for (int word = 0; word < kWords; ++word) {
    id += fmt::format("{:08x}", device());
  }
  return id;
}

}  // namespace juniperway::ctl
