#include "common/forwarding/split_chooser.h"

#include <algorithm>
#include <variant>

namespace juniperway::forwarding {

const std::string& SplitChooser::Choose(const routes::Route& route) {
  const auto& parts =
      std::get<routes::SplitTarget>(route.destination).weighted_services;
  if (parts.size() == 1) {
    return parts.front().service;
  }
  State& state = states_[route.name];
  if (state.parts != parts) {
    state.parts = parts;
    state.deficits.assign(parts.size(), 0);
  }
  double total = 0;
  for (const auto& part : parts) {
    total += part.weight;
  }
  for (std::size_t i = 0; i < parts.size(); ++i) {
    state.deficits[i] += parts[i].weight / total;
  }
  const auto largest = std::ranges::max_element(state.deficits);
  *largest -= 1;
  return parts[static_cast<std::size_t>(largest - state.deficits.begin())]
      .service;
}

}  // namespace juniperway::forwarding
