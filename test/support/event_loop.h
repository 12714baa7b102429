// Running an event loop until a condition holds.
#pragma once

#include <asio/io_context.hpp>
#include <functional>

#include "common/base/time.h"

namespace juniperway::test {

// Generous: only a fault reaches it.
inline constexpr seconds kConditionLimit{30};

// Runs handlers of `context` until `condition` holds.
// @return false when it did not hold within `limit`.
bool RunUntil(asio::io_context& context, const std::function<bool()>& condition,
              Duration limit = kConditionLimit);

// Runs handlers of `context` until none is ready and a turn passed without
// any. Only for showing that something posted has not happened.
void RunReady(asio::io_context& context);

}  // namespace juniperway::test
