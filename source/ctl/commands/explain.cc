// explain: one request's story from the logs of several processes.
#include <filesystem>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

#include "ctl/command.h"
#include "ctl/local_file.h"
#include "ctl/log_story.h"
#include "ctl/resource_output.h"

namespace juniperway::ctl {
namespace {

using nlohmann::json;

// A file's name without its ending names the process.
void AppendLines(const std::string& path, const std::string& content,
                 std::vector<LogLine>& lines) {
  const std::string process = std::filesystem::path(path).stem().string();
  std::istringstream stream(content);
  std::string text;
  while (std::getline(stream, text)) {
    if (auto line = ParseLogLine(text, process)) {
      lines.push_back(*std::move(line));
    }
  }
}

json ToJson(const std::vector<LogLine>& lines) {
  json list = json::array();
  for (const LogLine& line : lines) {
    list.push_back({{"time", line.time},
                    {"process", line.process},
                    {"event", line.number},
                    {"name", line.name},
                    {"fields", line.fields}});
  }
  return list;
}

void Print(const std::vector<LogLine>& lines, std::ostream& out) {
  for (const LogLine& line : lines) {
    out << "  " << line.time << "  " << line.process << "  " << line.number
        << ' ' << line.name << ' ' << line.fields << '\n';
  }
}

}  // namespace

Outcome<void> RunExplain(CommandContext& context) {
  const std::vector<std::string>& arguments = context.options.arguments;
  std::vector<LogLine> lines;
  for (auto file = arguments.begin() + 1; file != arguments.end(); ++file) {
    const auto content = ReadLocalFile(*file);
    if (!content) {
      return tl::unexpected(content.error());
    }
    AppendLines(*file, *content, lines);
  }
  const std::string& request_id = arguments.front();
  const LogStory story = TellStory(lines, request_id);
  if (story.events.empty()) {
    return Fail(ExitCode::kNotFound,
                "no log names request " + request_id +
                    ": it did not arrive, or its line was not kept (E1200)");
  }
  if (context.json()) {
    PrintJson(
        {{"state", ToJson(story.state)}, {"events", ToJson(story.events)}},
        context.out);
    return {};
  }
  context.out << "what the processes went by:\n";
  Print(story.state, context.out);
  context.out << "request " << request_id << ":\n";
  Print(story.events, context.out);
  return {};
}

}  // namespace juniperway::ctl
