#include "cornelfront/caller_api.h"
#include "cornelfront/codec.h"
#include "cornelfront/http_client.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <thread>

namespace cornelfront {
namespace {

using Json = nlohmann::json;

constexpr MemberId kSelf{ 0xa };
constexpr size_t kMaxBodyBytes = 200000;
const std::string kIdPrefix = "000000000000000a-0.";

/// Completes every job immediately, with each task's body as its result.
class EchoJobRunner : public JobRunner
{
public:
  void Submit(JobSpec aJob, Done aDone, MonoTime) override
  {
    ++jobs_;
    JobResult result{ .outcome_ = Outcome::Completed };
    for (TaskSpec& task : aJob.tasks_) {
      result.answers_.push_back(
        { .outcome_ = TaskOutcome::Completed, .body_ = std::move(task.body_) });
    }
    aDone(std::move(result));
  }

  void Cancel(const std::string&, MonoTime) override {}

  Millis PredictedWait(const std::string&,
                       Priority,
                       size_t,
                       MonoTime) const override
  {
    return Millis(0);
  }

  std::atomic<int> jobs_{ 0 };
};

class UnreachableForwarder : public Forwarder
{
public:
  bool Forward(MemberId, const HttpRequest&, ResponseCallback) override
  {
    return false;
  }
};

SchemaSetPtr
Schemas()
{
  ServiceSchema desk{ .service_ = "desk" };
  desk.calls_["match"] = { .name_ = "match", .maxBodyBytes_ = 16 };
  auto set = std::make_shared<SchemaSet>();
  set->services_["desk"] = std::make_shared<ServiceSchema>(std::move(desk));
  return set;
}

/// TCP connection that sends arbitrary bytes.
class RawConnection
{
public:
  explicit RawConnection(uint16_t aPort)
    : socket_(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const timeval limit{ .tv_sec = 10 };
    setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    EXPECT_EQ(
      connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)),
      0);
  }
  ~RawConnection() { close(socket_); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  bool Send(const std::string& aBytes) const
  {
    return send(socket_, aBytes.data(), aBytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(aBytes.size());
  }

  /// Reads until the server closes the connection.
  std::string ReadAll() const
  {
    std::string text;
    std::array<char, 4096> buffer{};
    ssize_t count = 0;
    while ((count = recv(socket_, buffer.data(), buffer.size(), 0)) > 0) {
      text.append(buffer.data(), static_cast<size_t>(count));
    }
    return text;
  }

private:
  int socket_;
};

struct InvalidRequest
{
  std::string name_;
  std::string bytes_;
  int status_;
  std::string field_;
  std::string bound_;
};

class CallerContract : public testing::Test
{
protected:
  static constexpr Millis kReceiveLimit{ 300 };

  static std::string Request(const std::string& aLine,
                             const std::string& aHeaders,
                             const std::string& aBody = "")
  {
    return aLine + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + aHeaders +
           "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
           aBody;
  }

  static std::string Call(const std::string& aHeaders,
                          const std::string& aBody = "x",
                          const std::string& aQuery = "")
  {
    return Request(
      "POST /v1/services/desk/calls/match" + aQuery, aHeaders, aBody);
  }

  static std::string Job(const std::string& aBody)
  {
    return Request("POST /v1/services/desk/jobs", "", aBody);
  }

  static std::string JobWithTasks(const std::string& aTasks)
  {
    return Job(R"({"submission":")" + kIdPrefix + R"(j","tasks":)" + aTasks +
               "}");
  }

  static std::string MakeTasks(size_t aCount)
  {
    const std::string task = R"({"call":"match","body_base64":""})";
    std::string tasks = "[" + task;
    for (size_t i = 1; i < aCount; ++i) {
      tasks += "," + task;
    }
    return tasks + "]";
  }

  static std::vector<InvalidRequest> InvalidHeaders()
  {
    const std::string key = "Idempotency-Key: " + kIdPrefix + "k\r\n";
    return {
      { "no key", Call(""), 428, "idempotency-key", "not repeatable" },
      { "bad key", Call("Idempotency-Key: a\r\n"), 428, "", "1 to 64" },
      { "two keys", Call(key + key), 428, "idempotency-key", "<key prefix>" },
      { "bad team",
        Call(key + "Cornelfront-Team: a b\r\n"),
        400,
        "cornelfront-team",
        "at most 64 characters" },
      { "two teams",
        Call(key + "Cornelfront-Team: a\r\nCornelfront-Team: b\r\n"),
        400,
        "cornelfront-team",
        "at most 64 characters" },
      { "negative limit",
        Call(key + "Cornelfront-Start-Within-Ms: -1\r\n"),
        400,
        "cornelfront-start-within-ms",
        "from 1 to 3600000" },
      { "huge limit",
        Call(key + "Cornelfront-Start-Within-Ms: 99999999999999999999\r\n"),
        400,
        "cornelfront-start-within-ms",
        "from 1 to 3600000" },
      { "bad wait", Call(key, "x", "?wait_ms=1"), 400, "wait_ms", "must be 0" },
      { "two waits",
        Call(key, "x", "?wait_ms=0&wait_ms=0"),
        400,
        "wait_ms",
        "must be 0" },
      { "large body",
        Call(key, std::string(17, 'x')),
        413,
        "body",
        "at most 16 bytes" },
    };
  }

  static std::vector<InvalidRequest> InvalidPaths()
  {
    return {
      { "unknown path", Request("GET /v2", ""), 404, "path", "not exist" },
      { "extra segment",
        Request("GET /v1/key-prefix/x", ""),
        404,
        "path",
        "not exist" },
      { "unknown service",
        Request("POST /v1/services/a/calls/b",
                "Idempotency-Key: " + kIdPrefix + "s\r\n"),
        404,
        "service",
        "not in force" },
      { "unknown call",
        Request("POST /v1/services/desk/calls/b",
                "Idempotency-Key: " + kIdPrefix + "c\r\n"),
        404,
        "call",
        "not a call of desk" },
      { "wrong method",
        Request("PUT /v1/services/desk/jobs", ""),
        405,
        "method",
        "must be POST" },
      { "bad id", Request("GET /v1/jobs/x", ""), 400, "submission", "prefix" },
    };
  }

  static std::vector<InvalidRequest> InvalidJobs()
  {
    return {
      { "no JSON", Job("{"), 400, "body", "malformed at byte" },
      { "deep JSON", Job(std::string(5000, '[')), 400, "body", "8 levels" },
      { "array", Job("[]"), 400, "body", "must be a JSON object" },
      { "no id", Job("{}"), 400, "submission", "is required" },
      { "number as id", Job(R"({"submission":1})"), 400, "", "a string" },
      { "extra member", Job(R"({"x":1})"), 400, "x", "is not known" },
      { "no tasks", JobWithTasks("[]"), 400, "tasks", "1 to 1900 tasks" },
      { "many tasks",
        JobWithTasks(MakeTasks(1901)),
        400,
        "tasks",
        "1 to 1900 tasks" },
      { "bad task", JobWithTasks("[1]"), 400, "tasks[0]", "must be an object" },
      { "bad base64",
        JobWithTasks(R"([{"call":"match","body_base64":"a"}])"),
        400,
        "tasks[0].body_base64",
        "base64" },
      { "bad UTF-8", Job("{\"\xff\":1}"), 400, "body", "malformed" },
      { "unknown call in job",
        JobWithTasks(R"([{"call":"none","body_base64":""}])"),
        404,
        "tasks[0].call",
        "not a call" },
    };
  }

  void ExpectRefused(const InvalidRequest& aInvalid,
                     const std::string& aResponse)
  {
    SCOPED_TRACE(aInvalid.name_ + ": " + aResponse);
    const std::string line =
      "HTTP/1.1 " + std::to_string(aInvalid.status_) + " ";
    EXPECT_EQ(aResponse.substr(0, line.size()), line);
    EXPECT_NE(aResponse.find("Cornelfront-Outcome: refused\r\n"),
              std::string::npos);
    const size_t end = aResponse.find("\r\n\r\n");
    ASSERT_NE(end, std::string::npos);
    const Json body = Json::parse(aResponse.substr(end + 4));
    EXPECT_EQ(body["outcome"], "refused");
    if (!aInvalid.field_.empty()) {
      EXPECT_EQ(body["field"], aInvalid.field_);
    }
    EXPECT_TRUE(body.contains("value"));
    EXPECT_NE(body["bound"].get<std::string>().find(aInvalid.bound_),
              std::string::npos);
  }

  /// Sends a valid call on a separate connection and expects it to succeed.
  void ExpectCallSucceeds()
  {
    const int number = nextValidCall_++;
    HttpClient client;
    const HttpResult result = client.Perform(
      { .method_ = "POST",
        .url_ = "http://127.0.0.1:" + std::to_string(server_.Port()) +
                "/v1/services/desk/calls/match",
        .headers_ = { { "Idempotency-Key",
                        kIdPrefix + "good" + std::to_string(number) },
                      { "Accept", "application/octet-stream" } },
        .body_ = std::to_string(number) });
    EXPECT_EQ(result.response_.status_, 200) << result.error_;
    EXPECT_EQ(result.response_.body_, std::to_string(number));
  }

  const MonoTime start_ = MonoClock::now();
  int nextValidCall_ = 0;
  EchoJobRunner runner_;
  UnreachableForwarder forwarder_;
  ShardedSubmissionTable submissions_{ { .start_ = start_ } };
  CallerApi api_{ { .self_ = kSelf, .start_ = start_ },
                  runner_,
                  submissions_,
                  forwarder_,
                  &Schemas };
  HttpServer server_{
    { .maxBodyBytes_ = kMaxBodyBytes, .requestReceiveLimit_ = kReceiveLimit },
    [this](HttpRequest aRequest, HttpReply aReply) {
      api_.Handle(std::move(aRequest), std::move(aReply), MonoClock::now());
    }
  };
};

TEST_F(CallerContract, NamesFieldAndBoundWithoutAffectingOthers)
{
  std::vector<InvalidRequest> cases = InvalidHeaders();
  for (const auto& more : { InvalidPaths(), InvalidJobs() }) {
    cases.insert(cases.end(), more.begin(), more.end());
  }
  for (const InvalidRequest& invalid : cases) {
    const RawConnection connection(server_.Port());
    ASSERT_TRUE(connection.Send(invalid.bytes_));
    ExpectCallSucceeds();
    ExpectRefused(invalid, connection.ReadAll());
  }
  EXPECT_EQ(runner_.jobs_, nextValidCall_);
}

TEST_F(CallerContract, AllowsNamedMethods)
{
  const RawConnection connection(server_.Port());
  connection.Send(Request("PUT /v1/jobs/x", ""));
  EXPECT_NE(connection.ReadAll().find("Allow: GET, DELETE\r\n"),
            std::string::npos);
}

TEST_F(CallerContract, RefusesDeclaredLargeBodyBeforeItIsSent)
{
  const RawConnection connection(server_.Port());
  connection.Send("POST /v1/services/desk/jobs HTTP/1.1\r\nHost: x\r\n"
                  "Content-Length: 200001\r\n\r\n");
  ExpectRefused({ "announced", "", 413, "body", "at most 200000 bytes" },
                connection.ReadAll());
  ExpectCallSucceeds();
}

TEST_F(CallerContract, AnswersALargeBodyThatIsSentCompletely)
{
  constexpr size_t kBytes = 64U << 20;
  // This server has the default receive limit, since a shorter one may cut off
  // the sender.
  HttpServer server({ .maxBodyBytes_ = kMaxBodyBytes },
                    [](HttpRequest, HttpReply aReply) { aReply.Send({}); });
  const RawConnection connection(server.Port());
  ASSERT_TRUE(connection.Send("POST /v1/services/desk/jobs HTTP/1.1\r\n"
                              "Host: x\r\nContent-Length: " +
                              std::to_string(kBytes) + "\r\n\r\n"));
  EXPECT_TRUE(connection.Send(std::string(kBytes, 'x')));
  ExpectRefused({ "64 MB", "", 413, "body", "at most 200000 bytes" },
                connection.ReadAll());
}

TEST_F(CallerContract, RefusesRequestsWithAmbiguousLength)
{
  const std::string line =
    "POST /v1/services/desk/jobs HTTP/1.1\r\nHost: x\r\n";
  const std::string body = "5\r\nhello\r\n0\r\n\r\n";
  const std::vector<InvalidRequest> cases = {
    { "two lengths",
      line + "Content-Length: 5\r\nContent-Length: 15\r\n\r\n" + body,
      400,
      "content-length",
      "one number" },
    { "length beside chunks",
      line + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + body,
      400,
      "content-length",
      "beside Transfer-Encoding" },
  };
  for (const InvalidRequest& invalid : cases) {
    const RawConnection connection(server_.Port());
    ASSERT_TRUE(connection.Send(invalid.bytes_));
    ExpectRefused(invalid, connection.ReadAll());
    ExpectCallSucceeds();
  }
  EXPECT_EQ(runner_.jobs_, nextValidCall_);
}

TEST_F(CallerContract, RefusesANulInAKey)
{
  const RawConnection connection(server_.Port());
  connection.Send(
    Call("Idempotency-Key: " + kIdPrefix + std::string("k\0k\r\n", 5)));
  EXPECT_EQ(connection.ReadAll().substr(0, 13), "HTTP/1.1 400 ");
}

TEST_F(CallerContract, RefusesLargeChunkedBody)
{
  const RawConnection connection(server_.Port());
  connection.Send("POST /v1/services/desk/jobs HTTP/1.1\r\nHost: x\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n30d41\r\n");
  connection.Send(std::string(kMaxBodyBytes + 1, 'x'));
  ExpectRefused({ "chunked", "", 413, "body", "at most 200000 bytes" },
                connection.ReadAll());
  ExpectCallSucceeds();
}

TEST_F(CallerContract, RefusesSlowSenders)
{
  const std::string request =
    Call("Idempotency-Key: " + kIdPrefix + "slow\r\n");
  // The request stops within the headers and within the body. It is sent byte
  // by byte, so that the connection is never idle before that.
  for (const size_t sent : { request.size() / 2, request.size() - 1 }) {
    const RawConnection connection(server_.Port());
    for (size_t i = 0; i < sent; ++i) {
      connection.Send(request.substr(i, 1));
    }
    ExpectCallSucceeds();
    ExpectRefused({ "slow", "", 408, "request", "within 300 ms" },
                  connection.ReadAll());
  }
  EXPECT_EQ(runner_.jobs_, nextValidCall_);
}

TEST_F(CallerContract, NeverRunsAnIncompleteRequest)
{
  const std::string request =
    Call("Idempotency-Key: " + kIdPrefix + "half\r\n");
  {
    const RawConnection connection(server_.Port());
    connection.Send(request.substr(0, request.size() - 1));
  }
  ExpectCallSucceeds();
  EXPECT_EQ(runner_.jobs_, 1);
}

TEST_F(CallerContract, ServesTheLargestJob)
{
  const RawConnection connection(server_.Port());
  connection.Send(JobWithTasks(MakeTasks(kMaxTasksPerJob)));
  const std::string response = connection.ReadAll();
  EXPECT_EQ(response.substr(0, 12), "HTTP/1.1 200");
}

} // namespace
} // namespace cornelfront
