// The pure check of one response message; truncated_answer_test.cc tests it
// under the client.
#include "common/net/response_message.h"

#include <doctest/doctest.h>

#include "common/net/second_head.h"

namespace juniperway::net {
namespace {

// Reads the head of a response, whose fields are those of `Fields`.
ResponseMessage HeadOf(const std::vector<std::string>& lines) {
  ResponseMessage message(/*has_body=*/true, {"X-Request-Id", "1"});
  for (const std::string& line : lines) {
    message.AddLine(line + "\r\n");
  }
  return message;
}

MessageFault EndOf(ResponseMessage message, std::string_view body,
                   Followed followed = Followed::kNo,
                   const Fields& fields = {}) {
  message.End(body, fields, [followed] { return followed; });
  return message.fault();
}

TEST_CASE("the head says how the body ends") {
  CHECK(HeadOf({"HTTP/1.1 200 OK", "Content-Length: 2", ""}).framing() ==
        BodyFraming::kLength);
  CHECK(
      HeadOf({"HTTP/1.1 200 OK", "transfer-encoding: Chunked", ""}).framing() ==
      BodyFraming::kChunked);
  CHECK(HeadOf({"HTTP/1.0 200", ""}).framing() == BodyFraming::kUntilClose);
  CHECK(HeadOf({"HTTP/1.1 204 None", ""}).framing() == BodyFraming::kNone);
  CHECK(HeadOf({"HTTP/1.1 103 Early", "A: b", "", "HTTP/1.1 200 OK",
                "Content-Length: 2", ""})
            .framing() == BodyFraming::kLength);
  CHECK(HeadOf({"HTTP/1.1 200 OK"}).framing() == BodyFraming::kUnknown);
}

TEST_CASE("a message needs the end of its head and all of its body") {
  const auto head = HeadOf({"HTTP/1.1 200 OK", "Content-Length: 2", ""});
  CHECK(EndOf(head, "ok") == MessageFault::kNone);
  CHECK(EndOf(head, "o") == MessageFault::kBodyLength);
  CHECK(EndOf(HeadOf({"HTTP/1.1 200 OK", "Content-Length: 0"}), "") ==
        MessageFault::kHeadCutOff);
  CHECK(EndOf(HeadOf({}), "") == MessageFault::kHeadCutOff);
}

TEST_CASE("a line without its end is no line") {
  ResponseMessage message;
  CHECK(message.AddLine("HTTP/1.1 200 OK") == LineKind::kFaulty);
  CHECK(message.fault() == MessageFault::kFieldLine);
}

TEST_CASE("an interim response frames no body") {
  CHECK(HeadOf({"HTTP/1.1 103 Early", "Content-Length: 2", ""}).fault() ==
        MessageFault::kFraming);
}

TEST_CASE("blanks before the colon of a field are dropped") {
  const auto head = HeadOf({"HTTP/1.1 200 OK", "Content-Length : 2", ""});
  CHECK(head.framing() == BodyFraming::kLength);
}

TEST_CASE("a head in a body of known length counts by what follows the body") {
  const Fields fields = {{"X-Request-Id", "1"}, {"X-Signature", "s"}};
  const std::string own = "ab HTTP/1.1 500 No\r\nX-Request-Id: 1\r\n\r\n";
  const std::string other = "ab HTTP/1.1 500 No\r\nX-Request-Id: 2\r\n\r\n";
  const auto head_for = [](const std::string& body) {
    return HeadOf({"HTTP/1.1 200 OK", "X-Request-Id: 1",
                   "Content-Length: " + std::to_string(body.size()), ""});
  };
  for (const Followed followed :
       {Followed::kNo, Followed::kYes, Followed::kUnknown}) {
    CHECK(EndOf(head_for(own), own, followed, fields) ==
          MessageFault::kSecondHead);
    CHECK((EndOf(head_for(other), other, followed, fields) ==
           MessageFault::kSecondHead) == (followed == Followed::kYes));
  }
}

TEST_CASE("without a length any whole head in the body is another response") {
  const auto head = HeadOf({"HTTP/1.1 200 OK", "X-Request-Id: 1", ""});
  const Fields fields = {{"X-Request-Id", "1"}};
  for (const char* second : {"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n\r\nbusy",
                             "HTTP/1.1 100 Continue\r\n\r\n"}) {
    CHECK(EndOf(head, std::string("ab") + second, Followed::kNo, fields) ==
          MessageFault::kSecondHead);
  }
}

TEST_CASE("the start of a head at the end of a body counts with what follows") {
  const auto framed = HeadOf({"HTTP/1.1 200 OK", "Content-Length: 6", ""});
  CHECK(EndOf(framed, "abHTTP", Followed::kYes) == MessageFault::kSecondHead);
  CHECK(EndOf(framed, "abHTTP", Followed::kNo) == MessageFault::kNone);
  CHECK(EndOf(framed, "abHTTP", Followed::kUnknown) == MessageFault::kNone);
  CHECK(EndOf(framed, "aHTTP/", Followed::kUnknown) ==
        MessageFault::kSecondHead);
  CHECK(EndOf(framed, "abHTXX", Followed::kYes) == MessageFault::kNone);
  const auto unframed = HeadOf({"HTTP/1.1 200 OK", ""});
  CHECK(EndOf(unframed, "abHTTP/") == MessageFault::kSecondHead);
  CHECK(EndOf(unframed, "abHTTP") == MessageFault::kNone);
}

TEST_CASE("the start of a head may be cut off anywhere") {
  const std::string head = "HTTP/1.1 200 OK\r\nX-A: b\r\nX-B: c\r\n";
  for (std::size_t size = 1; size <= head.size(); ++size) {
    CAPTURE(size);
    CHECK(HeadStartAtEnd("H HTT" + head.substr(0, size)) == size);
  }
  CHECK(HeadStartAtEnd(head + "\r\nbody") == 0);
  CHECK(HeadStartAtEnd("HTTP/1.1 200 OK\r\nno field\r\n") == 0);
}

}  // namespace
}  // namespace juniperway::net
