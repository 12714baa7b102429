// juniperwayctl: the operators' command line. Exit codes: failure.h.
#include <asio/io_context.hpp>
#include <cstdlib>
#include <exception>
#include <iostream>

#include "ctl/failure.h"
#include "ctl/run.h"
#include "ctl/settings.h"

int main(int argc, const char** argv) {
  try {
    const char* servers = std::getenv(juniperway::ctl::kServerVariable);
    asio::io_context context(1);
    return juniperway::ctl::Run(argc, argv, servers == nullptr ? "" : servers,
                                context, {std::cin, std::cout, std::cerr});
  } catch (const std::exception& fault) {
    std::cerr << "juniperwayctl: " << fault.what() << '\n';
    return static_cast<int>(juniperway::ctl::ExitCode::kLocalFile);
  }
}
