// Output in aligned columns.
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace juniperway::ctl {

class Table {
 public:
  explicit Table(std::vector<std::string> headers);

  // Missing cells are left blank; there must not be more than headers.
  void AddRow(std::vector<std::string> cells);

  // Columns are two blanks apart; lines have no blanks at their end.
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows_;  // the first is the headers
};

}  // namespace juniperway::ctl
