#include "deployment.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cornelfront::review {
namespace {

using Json = nlohmann::json;

constexpr Millis kStartTimeout{ 25000 };

// Offsets of the ports on each machine.
constexpr int kClients = 0;
constexpr int kReady = 1;
constexpr int kMessages = 2;
constexpr int kHeartbeats = 3;
constexpr int kMetrics = 4;
constexpr int kPorts = 5;

/// Executors listen on the common loopback address, from this offset on.
constexpr int kFirstExecutor = 10;
constexpr int kLastPort = 40;

std::string
EntryHost(unsigned aEntry)
{
  return "127.0.0." + std::to_string(11 + aEntry);
}

std::string
SidecarHost(unsigned aSidecar)
{
  return "127.0.0." + std::to_string(31 + aSidecar);
}

bool
IsFree(const std::string& aHost, int aPort)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(aPort));
  inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  const bool free =
    bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return free;
}

/// Returns the first of kLastPort ports that are free on all loopback
/// addresses.
int
FindPorts()
{
  constexpr int kLowest = 20000;
  constexpr int kRange = 10000;
  std::random_device device;
  for (int attempt = 0; attempt < 200; ++attempt) {
    const int port = kLowest + static_cast<int>(device() % kRange);
    bool free = true;
    for (int i = 0; i < kLastPort && free; ++i) {
      free = IsFree("0.0.0.0", port + i);
    }
    if (free) {
      return port;
    }
  }
  throw CannotRun("no free ports");
}

RunSeen
ParseRun(unsigned aExecutor, const Json& aRun)
{
  return { .executor_ = aExecutor,
           .task_ = aRun.at("task"),
           .run_ = aRun.at("run"),
           .begun_ = aRun.at("begun"),
           .ended_ = aRun.at("ended"),
           .acknowledged_ = aRun.at("acknowledged"),
           .how_ = aRun.at("how") };
}

} // namespace

int64_t
WallMs()
{
  return std::chrono::duration_cast<Millis>(WallClock::now().time_since_epoch())
    .count();
}

Deployment::Deployment(const DeploymentOptions& aOptions, Record& aRecord)
  : options_(aOptions)
  , record_(aRecord)
{
  const char* root = std::getenv("REVIEW_ROOT");
  const std::string base = root == nullptr ? "." : root;
  product_ = base + "/target/src/cornelfront/cornelfront";
  standins_ = base + "/build-review/bin/";
  if (access(product_.c_str(), X_OK) != 0) {
    throw CannotRun(product_ + " is not built");
  }
  directory_ = std::filesystem::temp_directory_path() / "review-XXXXXX";
  if (mkdtemp(directory_.data()) == nullptr) {
    throw CannotRun("no temporary directory");
  }
  port_ = FindPorts();
  store_ = std::make_unique<Child>(
    std::vector<std::string>{ standins_ + "store_standin" }, LogOf("store"));
  storeAddress_ = "127.0.0.1:" + store_->WaitForLine("listening http ");
  WriteConfig();
  for (unsigned i = 0; i < options_.entries_; ++i) {
    StartEntry(i);
  }
  executors_.resize(options_.executors_);
  for (unsigned i = 0; i < options_.executors_; ++i) {
    StartExecutor(i);
    StartSidecar(i);
  }
}

Deployment::~Deployment()
{
  sidecars_.clear();
  entries_.clear();
  executors_.clear();
  proxies_.clear();
  store_.reset();
  if (std::getenv("KEEP_LOGS") != nullptr) {
    record_.Line("logs are kept in " + directory_);
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(directory_, ignored);
}

std::string
Deployment::Address(const std::string& aHost, int aOffset) const
{
  return aHost + ":" + std::to_string(port_ + aOffset);
}

std::string
Deployment::LogOf(const std::string& aName)
{
  return directory_ + "/" + aName + "." + std::to_string(starts_[aName]++) +
         ".log";
}

void
Deployment::WriteConfig()
{
  const Json config{
    { "version", 7 },
    { "routes",
      { { { "name", "q1" },
          { "host", "desk.example" },
          { "pathPrefix", "/q1/" },
          { "service", "desk" },
          { "priority", 0 },
          { "attempts", 3 },
          { "stretch", 1.6 },
          { "sloMs", 60 },
          { "timeoutMs", 30000 } } } },
    { "services", { { { "name", "desk" }, { "rejectsOverload", true } } } },
    { "limits", Json::object() }
  };
  const std::string key = "config";
  const std::string content =
    std::string(1, static_cast<char>(key.size())) + key + config.dump();
  std::string body{ '\0',
                    '\0',
                    static_cast<char>(content.size() >> 8U),
                    static_cast<char>(content.size()) };
  body += content;
  const HttpResult result = Perform(
    { .method_ = "POST",
      .url_ = "http://" + storeAddress_ + "/log-append?topic=keyed.op&part=0",
      .body_ = body });
  if (!result.Ok()) {
    throw CannotRun("the store takes no configuration");
  }
}

std::string
Deployment::StartProxy(const std::string& aName,
                       const std::string& aListenPort,
                       const std::string& aTarget)
{
  Proxy& proxy = proxies_[aName];
  proxy.process_ = std::make_unique<Child>(
    std::vector<std::string>{
      standins_ + "fault_proxy", "--route", aListenPort + ":" + aTarget },
    LogOf("proxy-" + aName));
  proxy.control_ =
    "http://127.0.0.1:" + proxy.process_->WaitForLine("listening ") +
    "/control";
  return "127.0.0.1:" + proxy.process_->WaitForLine("route 0 listening ");
}

void
Deployment::Control(const std::string& aName, const std::string& aFields)
{
  Json fields = Json::parse(aFields);
  fields["route"] = "all";
  record_.Line("proxy " + aName + " " + aFields);
  const HttpResult result = Perform({ .method_ = "POST",
                                      .url_ = proxies_.at(aName).control_,
                                      .body_ = fields.dump() });
  if (!result.Ok()) {
    throw CannotRun("the proxy " + aName + " does not answer");
  }
}

void
Deployment::StoreProxy(unsigned aEntry, const std::string& aFields)
{
  Control("store-" + std::to_string(aEntry), aFields);
}

void
Deployment::LinkProxy(unsigned aEntry, const std::string& aFields)
{
  Control("links-" + std::to_string(aEntry), aFields);
}

void
Deployment::ClientProxy(unsigned aEntry, const std::string& aFields)
{
  Control("clients-" + std::to_string(aEntry), aFields);
}

void
Deployment::StartEntry(unsigned aEntry)
{
  const std::string name = "front-z" + std::to_string(aEntry) + "-1";
  const std::string number = std::to_string(aEntry);
  const std::string host = EntryHost(aEntry);
  const std::string clients = Address(host, kClients);
  const std::string messages = Address(host, kMessages);
  storeOfEntry_.push_back(options_.storeProxies_
                            ? StartProxy("store-" + number, "0", storeAddress_)
                            : storeAddress_);
  clientsOfEntry_.push_back(options_.clientProxies_
                              ? StartProxy("clients-" + number, "0", clients)
                              : clients);
  const std::string advertised =
    options_.linkProxies_ ? StartProxy("links-" + number, "0", messages)
                          : messages;
  const std::string file = directory_ + "/" + name + ".yaml";
  std::ofstream(file) << "job_entry:\n  name: \"" << name << "\"\n  zone: \"z"
                      << aEntry << "\"\n  clients: \"" << clients
                      << "\"\n  readiness: \"" << Address(host, kReady)
                      << "\"\n  messages: \"" << messages
                      << "\"\n  advertised: \"" << advertised
                      << "\"\n  metrics: \"" << Address(host, kMetrics)
                      << "\"\n  store: \"" << storeOfEntry_.back()
                      << "\"\n  links:\n    pulse_interval: \"300ms\"\n"
                         "    silence_bound: \"1000ms\"\n"
                         "    redial_interval: \"200ms\"\n"
                         "  stop_limit: \"5s\"\n";
  entries_.push_back(std::make_unique<Child>(
    std::vector<std::string>{ product_, "job-entry", "--settings", file },
    LogOf(name)));
}

void
Deployment::StartSidecar(unsigned aSidecar)
{
  const std::string name = "side-z" + std::to_string(aSidecar) + "-1";
  const std::string host = SidecarHost(aSidecar);
  const std::string file = directory_ + "/" + name + ".yaml";
  std::string seeds;
  for (unsigned i = 0; i < options_.entries_ && !options_.linkProxies_; ++i) {
    seeds += (i == 0 ? "\"" : ",\"") + Address(EntryHost(i), kMessages) + "\"";
  }
  std::ofstream(file) << "job_sidecar:\n  name: \"" << name << "\"\n  zone: \"z"
                      << aSidecar << "\"\n  heartbeats: \""
                      << Address(host, kHeartbeats) << "\"\n  metrics: \""
                      << Address(host, kMetrics)
                      << "\"\n  upstream: \"127.0.0.1:"
                      << executorPorts_.at(aSidecar) << "\"\n  store: \""
                      << storeAddress_ << "\"\n  seeds: [" << seeds
                      << "]\n  message_port: " << port_ + kMessages
                      << "\n  lease: \"1000ms\"\n  links:\n"
                         "    pulse_interval: \"300ms\"\n"
                         "    silence_bound: \"1000ms\"\n"
                         "    redial_interval: \"200ms\"\n"
                         "  stop_limit: \"5s\"\n";
  sidecars_.push_back(std::make_unique<Child>(
    std::vector<std::string>{ product_, "job-sidecar", "--settings", file },
    LogOf(name)));
}

void
Deployment::RestartEntry(unsigned aEntry)
{
  const std::string name = "front-z" + std::to_string(aEntry) + "-1";
  entries_[aEntry] = std::make_unique<Child>(
    std::vector<std::string>{
      product_, "job-entry", "--settings", directory_ + "/" + name + ".yaml" },
    LogOf(name));
  record_.Line("entry " + std::to_string(aEntry) + " is started again");
}

void
Deployment::RestartSidecar(unsigned aSidecar)
{
  const std::string name = "side-z" + std::to_string(aSidecar) + "-1";
  sidecars_[aSidecar] = std::make_unique<Child>(
    std::vector<std::string>{ product_,
                              "job-sidecar",
                              "--settings",
                              directory_ + "/" + name + ".yaml" },
    LogOf(name));
  record_.Line("sidecar " + std::to_string(aSidecar) + " is started again");
}

void
Deployment::StartExecutor(unsigned aExecutor)
{
  if (executorPorts_.size() <= aExecutor) {
    executorPorts_.push_back(port_ + kFirstExecutor +
                             static_cast<int>(aExecutor));
  }
  const std::string id = "i-" + std::to_string(aExecutor);
  executors_[aExecutor] = std::make_unique<Child>(
    std::vector<std::string>{ standins_ + options_.executorProgram_,
                              "--port",
                              std::to_string(executorPorts_[aExecutor]),
                              "--id",
                              id,
                              "--cpu",
                              std::to_string(options_.cpu_),
                              "--heartbeats",
                              Address(SidecarHost(aExecutor), kHeartbeats) },
    LogOf(id));
  executors_[aExecutor]->WaitForLine("listening http ");
  record_.Line("executor " + id + " is up");
}

void
Deployment::ControlExecutor(unsigned aExecutor, const std::string& aFields)
{
  record_.Line("executor i-" + std::to_string(aExecutor) + " " + aFields);
  const HttpResult result =
    Perform({ .method_ = "POST",
              .url_ = "http://127.0.0.1:" +
                      std::to_string(executorPorts_.at(aExecutor)) + "/control",
              .body_ = aFields });
  if (!result.Ok()) {
    throw CannotRun("an executor does not answer");
  }
}

void
Deployment::CrashExecutor(unsigned aExecutor)
{
  const std::vector<RunSeen> runs = AskRuns(aExecutor);
  executors_.at(aExecutor)->Kill();
  record_.Line("executor i-" + std::to_string(aExecutor) + " has crashed");
  for (RunSeen run : runs) {
    if (run.ended_ == 0) {
      run.ended_ = WallMs();
      run.how_ = "crashed";
    }
    earlierRuns_.push_back(run);
  }
}

void
Deployment::WaitReady()
{
  for (unsigned i = 0; i < options_.entries_; ++i) {
    const std::string url =
      "http://" + Address(EntryHost(i), kReady) + "/ready";
    const bool ready =
      WaitUntil([&] { return Perform({ .url_ = url }).Ok(); }, kStartTimeout);
    const bool linked = WaitUntil(
      [&] {
        return std::atof(Metric(i, "sidecars").c_str()) >= options_.executors_;
      },
      kStartTimeout);
    if (!ready || !linked) {
      throw CannotRun("entry " + std::to_string(i) + " is not ready");
    }
  }
  if (!WaitUntil([&] { return Leader() >= 0; }, kStartTimeout)) {
    throw CannotRun("there is no leader");
  }
  // A leader places stored jobs once all sidecars have handed over.
  std::this_thread::sleep_for(Millis(1500));
  record_.Line("ready; entry " + std::to_string(Leader()) + " leads");
}

std::string
Deployment::Metric(unsigned aEntry, const std::string& aName)
{
  const HttpResult result = Perform(
    { .url_ = "http://" + Address(EntryHost(aEntry), kMetrics) + "/metrics" });
  const std::string& text = result.response_.body_;
  const std::string start = "\ncornelfront_state{name=\"" + aName + "\"}";
  const size_t at = text.find(start);
  if (!result.Ok() || at == std::string::npos) {
    return "";
  }
  const size_t end = text.find('\n', at + 1);
  const size_t space = text.rfind(' ', end);
  return text.substr(space + 1, end - space - 1);
}

int
Deployment::Leader()
{
  for (unsigned i = 0; i < options_.entries_; ++i) {
    if (entries_[i]->Running() && Metric(i, "leads") == "1") {
      return static_cast<int>(i);
    }
  }
  return -1;
}

HttpResult
Deployment::Perform(const HttpClientRequest& aRequest)
{
  return HttpClient().Perform(aRequest);
}

HttpResult
Deployment::Call(unsigned aEntry,
                 const std::string& aMethod,
                 const std::string& aPath,
                 const std::string& aBody,
                 Millis aTimeout,
                 bool aRecorded)
{
  HttpClientRequest request{ .method_ = aMethod,
                             .url_ =
                               "http://" + clientsOfEntry_.at(aEntry) + aPath,
                             .body_ = aBody,
                             .timeout_ = aTimeout,
                             .freshConnection_ = true };
  request.headers_.emplace_back("Host", "desk.example");
  request.headers_.emplace_back("Content-Type", "application/json");
  request.headers_.emplace_back("Request-Deadline",
                                std::to_string(aTimeout.count()));
  const std::string what =
    aMethod + " " + aPath + " at entry " + std::to_string(aEntry);
  if (aRecorded) {
    record_.Line("sent " + what + " " + aBody);
  }
  const HttpResult result = Perform(request);
  if (aRecorded) {
    record_.Line("answer to " + what + ": " +
                 (result.failure_ == HttpFailure::None
                    ? std::to_string(result.response_.status_) + " " +
                        result.response_.body_
                    : "none (" + result.error_ + ")"));
  }
  return result;
}

bool
Deployment::Submit(unsigned aEntry,
                   const std::string& aJob,
                   const std::string& aBody)
{
  return Call(aEntry, "POST", "/q1/" + aJob, aBody).Ok();
}

std::string
Deployment::State(unsigned aEntry, const std::string& aJob, bool aRecorded)
{
  const HttpResult result =
    Call(aEntry, "GET", "/q1/" + aJob, "", Millis(2000), aRecorded);
  if (!result.Ok()) {
    return std::to_string(result.response_.status_);
  }
  return Json::parse(result.response_.body_).value("state", "");
}

std::vector<RunSeen>
Deployment::AskRuns(unsigned aExecutor)
{
  std::vector<RunSeen> runs;
  if (!executors_[aExecutor] || !executors_[aExecutor]->Running()) {
    return runs;
  }
  const HttpResult result = Perform(
    { .url_ = "http://127.0.0.1:" + std::to_string(executorPorts_[aExecutor]) +
              "/control/runs" });
  if (!result.Ok()) {
    throw CannotRun("an executor does not answer");
  }
  for (const Json& run : Json::parse(result.response_.body_)) {
    runs.push_back(ParseRun(aExecutor, run));
  }
  return runs;
}

std::vector<RunSeen>
Deployment::Runs()
{
  std::vector<RunSeen> all = earlierRuns_;
  for (unsigned i = 0; i < options_.executors_; ++i) {
    const std::vector<RunSeen> runs = AskRuns(i);
    all.insert(all.end(), runs.begin(), runs.end());
  }
  std::stable_sort(all.begin(), all.end(), [](const auto& aA, const auto& aB) {
    return aA.begun_ < aB.begun_;
  });
  return all;
}

std::vector<RunSeen>
Deployment::RunsOf(const std::string& aTask)
{
  std::vector<RunSeen> runs = Runs();
  std::erase_if(
    runs, [&](const RunSeen& aRun) { return !aRun.task_.starts_with(aTask); });
  return runs;
}

int
Deployment::WhereRuns(const std::string& aTask)
{
  for (const RunSeen& run : RunsOf(aTask)) {
    if (run.ended_ == 0) {
      return static_cast<int>(run.executor_);
    }
  }
  return -1;
}

void
Deployment::RecordRuns()
{
  const int64_t start = WallMs() - record_.NowMs();
  const auto at = [start](int64_t aTime) {
    return aTime == 0 ? std::string("-") : std::to_string(aTime - start);
  };
  for (const RunSeen& run : Runs()) {
    record_.Line("run " + run.task_ + " number " + std::to_string(run.run_) +
                 " on i-" + std::to_string(run.executor_) + ": begun " +
                 at(run.begun_) + ", ended " + at(run.ended_) + " " +
                 (run.how_.empty() ? "(runs)" : run.how_) +
                 ", end taken note of " + at(run.acknowledged_));
  }
}

} // namespace cornelfront::review
