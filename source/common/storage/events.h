// Log events of the consensus store (2000-2049) and of the consensus node
// (2050-2099).
#pragma once

#include "common/logging/event_log.h"

namespace juniperway::storage {

inline constexpr logging::EventType kStoreCreated{2000, "store_created",
                                                  logging::Severity::kInfo};
inline constexpr logging::EventType kStoreOpened{2001, "store_opened",
                                                 logging::Severity::kInfo};
inline constexpr logging::EventType kStoreRefused{2002, "store_refused",
                                                  logging::Severity::kError};
inline constexpr logging::EventType kStoreWriteFailed{
    2003, "store_write_failed", logging::Severity::kError};
inline constexpr logging::EventType kDataLost{2050, "data_lost",
                                              logging::Severity::kError};

}  // namespace juniperway::storage
