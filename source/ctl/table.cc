#include "ctl/table.h"

#include <algorithm>
#include <utility>

namespace juniperway::ctl {
namespace {

constexpr std::size_t kColumnGap = 2;

// Continuation bytes of UTF-8 take no place on the screen.
std::size_t WidthOf(const std::string& text) {
  return static_cast<std::size_t>(
      std::count_if(text.begin(), text.end(), [](char character) {
        return (static_cast<unsigned char>(character) & 0xC0U) != 0x80U;
      }));
}

}  // namespace

Table::Table(std::vector<std::string> headers) {
  rows_.push_back(std::move(headers));
}

void Table::AddRow(std::vector<std::string> cells) {
  cells.resize(rows_.front().size());
  rows_.push_back(std::move(cells));
}

void Table::Print(std::ostream& out) const {
  std::vector<std::size_t> widths(rows_.front().size(), 0);
  for (const auto& row : rows_) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] = std::max(widths[column], WidthOf(row[column]));
    }
  }
  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t column = 0; column < row.size(); ++column) {
      line += row[column];
      line.append(widths[column] - WidthOf(row[column]) + kColumnGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << '\n';
  }
}

}  // namespace juniperway::ctl
