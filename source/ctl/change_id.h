// Names of changes that the operator did not name.
#pragma once

#include <string>

namespace juniperway::ctl {

// "ctl-" and 128 random bits in hexadecimal: no two are alike.
std::string MakeChangeId();

}  // namespace juniperway::ctl
