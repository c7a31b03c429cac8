#include "world.h"

#include <arpa/inet.h>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <future>
#include <iostream>
#include <netinet/in.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

constexpr Millis kPoll{ 10 };
constexpr Millis kStartLimit{ 15000 };
/// Ports of one machine, from World::port_ on.
constexpr uint16_t kClients = 0;
constexpr uint16_t kReadiness = 1;
constexpr uint16_t kHeartbeats = 2;
constexpr uint16_t kMessages = 3;
constexpr uint16_t kMetrics = 4;
constexpr uint16_t kExecutor = 5;
constexpr uint16_t kStore = 6;
constexpr uint16_t kPorts = 7;

/// Runs calls on a thread that lives as long as the process: the kernel ends a
/// child with PR_SET_PDEATHSIG when the thread that forked it ends.
class Spawner
{
public:
  static void Run(const std::function<void()>& aCall)
  {
    static Spawner* sSpawner = new Spawner;
    std::packaged_task<void()> task(aCall);
    std::future<void> done = task.get_future();
    {
      const std::lock_guard lock(sSpawner->mutex_);
      sSpawner->tasks_.push_back(std::move(task));
    }
    sSpawner->changed_.notify_one();
    done.get();
  }

private:
  Spawner()
  {
    std::thread([this] {
      for (;;) {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [this] { return !tasks_.empty(); });
        std::packaged_task<void()> task = std::move(tasks_.front());
        tasks_.pop_front();
        lock.unlock();
        task();
      }
    }).detach();
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::packaged_task<void()>> tasks_;
};

bool
CanBind(const std::string& aHost, uint16_t aPort)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  const bool bound = bind(socket,
                          reinterpret_cast<const sockaddr*>(&address),
                          sizeof(address)) == 0;
  close(socket);
  return bound;
}

/// Runs in the child after fork.
[[noreturn]] void
Execute(const std::vector<char*>& aArguments,
        pid_t aParent,
        const std::string& aOutput,
        const std::string& aErrors)
{
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != aParent) {
    _exit(126);
  }
  constexpr int kFlags = O_CREAT | O_WRONLY | O_APPEND;
  dup2(open(aOutput.c_str(), kFlags, 0644), STDOUT_FILENO);
  dup2(open(aErrors.c_str(), kFlags, 0644), STDERR_FILENO);
  for (int fd = 3; fd < 1024; ++fd) {
    close(fd);
  }
  execv(aArguments.front(), aArguments.data());
  _exit(127);
}

std::string
Environment(const char* aName, const std::string& aDefault)
{
  const char* value = std::getenv(aName);
  return value == nullptr ? aDefault : value;
}

std::string
Program()
{
  return Environment("PROGRAM", "target/src/cornelfront/cornelfront");
}

} // namespace

std::string
JobId(unsigned aNumber)
{
  char text[17];
  std::snprintf(text, sizeof(text), "5c0e7a21d94b%04x", aNumber & 0xffffU);
  return text;
}

Child::Child(const std::vector<std::string>& aCommand,
             const std::string& aOutput,
             const std::string& aErrors)
{
  std::vector<std::string> words = aCommand;
  std::vector<char*> arguments;
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  const pid_t parent = getpid();
  Spawner::Run([&] {
    pid_ = fork();
    if (pid_ == 0) {
      Execute(arguments, parent, aOutput, aErrors);
    }
  });
  if (pid_ < 0) {
    throw SetupError("cannot start " + aCommand.front());
  }
}

Child::~Child()
{
  Kill();
}

void
Child::Kill()
{
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
}

World::World(WorldOptions aOptions)
  : options_(std::move(aOptions))
  , record_(Environment("RECORD", "record.txt"))
{
  const char* kept = std::getenv("KEEP_LOGS");
  directory_ = (std::filesystem::temp_directory_path() / "review-XXXXXX");
  if (kept != nullptr) {
    directory_ = kept;
    std::filesystem::create_directories(directory_);
  } else if (mkdtemp(directory_.data()) == nullptr) {
    throw SetupError("no temporary folder");
  }
  std::random_device random;
  for (int i = 0; i < 100 && net_.empty(); ++i) {
    const std::string net = "127." + std::to_string(10 + random() % 200) + "." +
                            std::to_string(1 + random() % 250) + ".";
    const auto port = static_cast<uint16_t>(13000 + 10 * (random() % 1500));
    bool free = true;
    for (uint16_t p = 0; p < kPorts; ++p) {
      free = free && CanBind(net + "1", static_cast<uint16_t>(port + p));
    }
    if (free) {
      net_ = net;
      port_ = port;
    }
  }
  if (net_.empty()) {
    throw SetupError("no free ports");
  }
  // The store's stand-in listens on 127.0.0.1.
  for (uint16_t p = 0; p < 500 && storePort_ == 0; ++p) {
    const auto port = static_cast<uint16_t>(port_ + kStore + 10 * p);
    storePort_ = CanBind("127.0.0.1", port) ? port : 0;
  }
  const std::string folder = Environment("STANDINS", "build-review-3");
  store_ = std::make_unique<Child>(
    std::vector<std::string>{
      folder + "/store_standin", "--port", std::to_string(storePort_) },
    directory_ + "/store.out",
    directory_ + "/store.err");
  const bool up = WaitFor(
    [&] {
      cornelfront::HttpClient client;
      return client
        .Perform({ .method_ = "POST",
                   .url_ = "http://127.0.0.1:" + std::to_string(storePort_) +
                           "/control",
                   .body_ = "{}",
                   .timeout_ = Millis(500) })
        .Ok();
    },
    kStartLimit);
  if (!up) {
    throw SetupError("the store's stand-in does not answer");
  }
  Configure();
  entries_.resize(options_.entries_);
  sidecars_.resize(options_.sidecars_);
  for (unsigned i = 0; i < options_.entries_; ++i) {
    StartEntry(i);
  }
  for (unsigned i = 0; i < options_.sidecars_; ++i) {
    ExecutorOptions executor{
      .name_ = "w" + std::to_string(i),
      .address_ = SidecarHost(i),
      .port_ = static_cast<uint16_t>(port_ + kExecutor),
      .heartbeats_ = SidecarHost(i) + ":" + std::to_string(port_ + kHeartbeats),
      .zone_ = "z" + std::to_string(i % 3),
      .cpu_ = options_.cpu_
    };
    executors_.push_back(std::make_unique<Executor>(executor, runs_));
    StartSidecar(i);
  }
  AwaitReady();
}

World::~World()
{
  sidecars_.clear();
  entries_.clear();
  executors_.clear();
  store_.reset();
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(directory_);
  }
}

std::string
World::EntryHost(unsigned aEntry) const
{
  return net_ + std::to_string(10 + aEntry);
}

std::string
World::SidecarHost(unsigned aSidecar) const
{
  return net_ + std::to_string(100 + aSidecar);
}

Millis
World::Now() const
{
  return At(MonoClock::now());
}

Millis
World::At(MonoTime aTime) const
{
  return std::chrono::duration_cast<Millis>(aTime - start_);
}

void
World::Note(const std::string& aText)
{
  const std::lock_guard lock(recordMutex_);
  record_ << Now().count() << " ms  " << aText << std::endl;
}

void
World::StartEntry(unsigned aEntry)
{
  const std::string name = "front-" + std::to_string(aEntry);
  const std::string host = EntryHost(aEntry);
  const auto at = [&](uint16_t aPort) {
    return "\"" + host + ":" + std::to_string(port_ + aPort) + "\"";
  };
  const std::string file = directory_ + "/" + name + ".yaml";
  std::ofstream(file) << "job_entry:\n  name: \"" << name << "\"\n  zone: \"z"
                      << aEntry % 3 << "\"\n  clients: " << at(kClients)
                      << "\n  readiness: " << at(kReadiness)
                      << "\n  messages: " << at(kMessages)
                      << "\n  metrics: " << at(kMetrics)
                      << "\n  store: \"127.0.0.1:" << storePort_
                      << "\"\n  links:\n    pulse_interval: \"300ms\"\n"
                         "    silence_bound: \"1000ms\"\n"
                         "    redial_interval: \"200ms\"\n"
                         "  stop_limit: \"5s\"\n";
  entries_.at(aEntry) = std::make_unique<Child>(
    std::vector<std::string>{ Program(), "job-entry", "--settings", file },
    directory_ + "/" + name + ".out",
    directory_ + "/" + name + ".err");
}

void
World::StartSidecar(unsigned aSidecar)
{
  const std::string name = "side-" + std::to_string(aSidecar);
  const std::string host = SidecarHost(aSidecar);
  const auto at = [&](uint16_t aPort) {
    return "\"" + host + ":" + std::to_string(port_ + aPort) + "\"";
  };
  std::string seeds;
  for (unsigned i = 0; i < std::min(options_.entries_, 3U); ++i) {
    seeds += (i > 0 ? "," : "") + std::string("\"") + EntryHost(i) + ":" +
             std::to_string(port_ + kHeartbeats) + "\"";
  }
  const std::string file = directory_ + "/" + name + ".yaml";
  std::ofstream(file) << "job_sidecar:\n  name: \"" << name << "\"\n  zone: \"z"
                      << aSidecar % 3 << "\"\n  heartbeats: " << at(kHeartbeats)
                      << "\n  metrics: " << at(kMetrics)
                      << "\n  upstream: " << at(kExecutor)
                      << "\n  store: \"127.0.0.1:" << storePort_
                      << "\"\n  seeds: [" << seeds
                      << "]\n  message_port: " << port_ + kMessages
                      << "\n  lease: \"1000ms\"\n  links:\n"
                         "    pulse_interval: \"300ms\"\n"
                         "    silence_bound: \"1000ms\"\n"
                         "    redial_interval: \"200ms\"\n"
                         "  stop_limit: \"5s\"\n";
  sidecars_.at(aSidecar) = std::make_unique<Child>(
    std::vector<std::string>{ Program(), "job-sidecar", "--settings", file },
    directory_ + "/" + name + ".out",
    directory_ + "/" + name + ".err");
}

void
World::KillEntry(unsigned aEntry)
{
  Note("entry " + std::to_string(aEntry) + " is killed");
  entries_.at(aEntry)->Kill();
}

void
World::KillSidecar(unsigned aSidecar)
{
  Note("sidecar " + std::to_string(aSidecar) + " is killed");
  sidecars_.at(aSidecar)->Kill();
}

bool
World::IsReady(unsigned aEntry) const
{
  cornelfront::HttpClient client;
  return client
    .Perform({ .url_ = "http://" + EntryHost(aEntry) + ":" +
                       std::to_string(port_ + kReadiness) + "/ready",
               .timeout_ = Millis(500) })
    .Ok();
}

void
World::AwaitReady()
{
  const bool ready = WaitFor(
    [&] {
      for (unsigned i = 0; i < options_.entries_; ++i) {
        if (!IsReady(i)) {
          return false;
        }
      }
      return true;
    },
    kStartLimit);
  if (!ready) {
    throw SetupError("the entries do not become ready");
  }
  // An entry is ready with its first sidecar; the others follow within seconds.
  Sleep(Millis(4000));
}

void
World::WriteOperatorRecord(const std::string& aKey, const std::string& aValue)
{
  const std::string content =
    std::string(1, static_cast<char>(aKey.size())) + aKey + aValue;
  std::string body;
  for (int shift = 24; shift >= 0; shift -= 8) {
    body.push_back(static_cast<char>(content.size() >> shift));
  }
  cornelfront::HttpClient client;
  const auto result =
    client.Perform({ .method_ = "POST",
                     .url_ = "http://127.0.0.1:" + std::to_string(storePort_) +
                             "/log-append?topic=keyed.op&part=0",
                     .body_ = body + content });
  if (!result.Ok()) {
    throw SetupError("the store refused a record of the operator");
  }
}

void
World::Configure()
{
  Json routes = Json::array();
  routes.push_back({ { "name", "q1" },
                     { "host", "desk.example" },
                     { "pathPrefix", "/q1/" },
                     { "service", "desk" },
                     { "priority", options_.priority_ },
                     { "attempts", options_.attempts_ },
                     { "stretch", 4 },
                     { "sloMs", options_.sloMs_ },
                     { "timeoutMs", 10000 } });
  const Json config{
    { "version", ++version_ },
    { "routes", routes },
    { "services", { { { "name", "desk" }, { "rejectsOverload", true } } } }
  };
  WriteOperatorRecord("config", config.dump());
}

Reply
World::Call(unsigned aEntry,
            const std::string& aMethod,
            const std::string& aId,
            const std::string& aBody,
            Millis aDeadline)
{
  cornelfront::HttpClient client;
  cornelfront::HttpClientRequest request{
    .method_ = aMethod,
    .url_ = "http://" + EntryHost(aEntry) + ":" +
            std::to_string(port_ + kClients) + "/q1/" + aId,
    .body_ = aBody,
    .timeout_ = aDeadline
  };
  request.headers_.emplace_back("Host", "desk.example");
  request.headers_.emplace_back("Content-Type", "application/json");
  request.headers_.emplace_back("Request-Deadline",
                                std::to_string(aDeadline.count()));
  const auto result = client.Perform(request);
  Reply reply;
  if (result.failure_ == cornelfront::HttpFailure::None) {
    reply.status_ = result.response_.status_;
    const Json body = Json::parse(result.response_.body_, nullptr, false);
    if (body.is_object()) {
      reply.state_ = body.value("state", "");
    }
  }
  Note("entry " + std::to_string(aEntry) + " " + aMethod + " " + aId + " -> " +
       (reply.status_ == 0 ? "no answer" : std::to_string(reply.status_)) +
       (reply.state_.empty() ? "" : " " + reply.state_));
  return reply;
}

Reply
World::Submit(unsigned aEntry,
              const std::string& aId,
              const JobSpec& aJob,
              Millis aDeadline)
{
  Json step{ { "count", aJob.count_ },
             { "cpu", aJob.work_.cpu_ },
             { "memMb", 64 },
             { "estimateMs", aJob.estimate_.count() } };
  if (aJob.work_.gang_ > 0) {
    step["gang"] = true;
  }
  if (aJob.work_.lasts_) {
    step["longRunning"] = true;
  }
  Json body{ { "spec", ToSpec(aJob.work_) },
             { "steps", Json::array({ step }) } };
  if (aJob.bestEffort_) {
    body["bestEffort"] = true;
  }
  if (aJob.work_.lasts_) {
    body["longRunning"] = true;
  }
  return Call(aEntry, "POST", aId, body.dump(), aDeadline);
}

std::vector<RunRecord>
World::RunList()
{
  const std::lock_guard lock(runs_.mutex_);
  return runs_.list_;
}

int
World::Holder(const std::string& aTask)
{
  for (const RunRecord& run : RunList()) {
    if (run.task_ == aTask && run.how_.empty()) {
      for (size_t i = 0; i < executors_.size(); ++i) {
        if (executors_[i]->Id() == run.executor_) {
          return static_cast<int>(i);
        }
      }
    }
  }
  return -1;
}

void
World::NoteRuns(const std::string& aJob)
{
  for (const RunRecord& run : RunList()) {
    if (!run.task_.starts_with(aJob)) {
      continue;
    }
    std::ostringstream line;
    line << "run " << run.task_ << "#" << run.run_ << " at " << run.executor_
         << " from " << At(run.begun_).count();
    if (run.how_.empty()) {
      line << ", runs";
    } else {
      line << " to " << At(run.ended_).count() << ", " << run.how_;
    }
    Note(line.str());
  }
}

bool
World::WaitFor(const std::function<bool()>& aCondition, Millis aLimit)
{
  const MonoTime end = MonoClock::now() + aLimit;
  while (!aCondition()) {
    if (MonoClock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

void
World::Sleep(Millis aTime)
{
  std::this_thread::sleep_for(aTime);
}

} // namespace review
