// The whole program but for main(): picks the command, runs it, turns its
// outcome into an exit code.
#pragma once

#include <asio/io_context.hpp>
#include <istream>
#include <ostream>
#include <string>

namespace juniperway::ctl {

struct Streams {
  std::istream& in;
  std::ostream& out;
  std::ostream& error;
};

// @param server_variable value of $JUNIPERWAY_SERVER or empty.
// @return the exit code.
int Run(int argc, const char** argv, const std::string& server_variable,
        asio::io_context& context, const Streams& streams);

}  // namespace juniperway::ctl
