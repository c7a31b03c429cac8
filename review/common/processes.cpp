#include "processes.h"

#include <csignal>
#include <fstream>
#include <mutex>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace cornelfront::review {
namespace {

constexpr Millis kPollInterval{ 10 };
constexpr Millis kLineTimeout{ 10000 };

} // namespace

bool
WaitUntil(const std::function<bool()>& aCondition, Millis aTimeout)
{
  const MonoTime deadline = MonoClock::now() + aTimeout;
  while (!aCondition()) {
    if (MonoClock::now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

Child::Child(const std::vector<std::string>& aCommand, std::string aLog)
  : log_(std::move(aLog))
{
  const int log =
    open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  std::vector<char*> arguments;
  for (const std::string& argument : aCommand) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  close(log);
  if (pid_ < 0) {
    throw CannotRun("fork failed");
  }
}

Child::~Child()
{
  Kill();
}

void
Child::Signal(int aSignal) const
{
  if (pid_ > 0) {
    kill(pid_, aSignal);
  }
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

bool
Child::Running()
{
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = -1;
  }
  return pid_ > 0;
}

std::string
Child::WaitForLine(const std::string& aStart) const
{
  std::string rest;
  const bool found = WaitUntil(
    [&] {
      std::ifstream log(log_);
      for (std::string line; std::getline(log, line);) {
        // A line without its end may still be incomplete.
        if (line.starts_with(aStart) && !log.eof()) {
          rest = line.substr(aStart.size());
          return true;
        }
      }
      return false;
    },
    kLineTimeout);
  if (!found) {
    throw CannotRun("no line '" + aStart + "' in " + log_);
  }
  return rest;
}

struct Record::Impl
{
  std::mutex mutex_;
  std::ofstream file_;
  MonoTime start_ = MonoClock::now();
};

Record::Record(const std::string& aFile)
  : impl_(std::make_unique<Impl>())
{
  impl_->file_.open(aFile);
}

Record::~Record() = default;

int64_t
Record::NowMs() const
{
  return std::chrono::duration_cast<Millis>(MonoClock::now() - impl_->start_)
    .count();
}

void
Record::Line(const std::string& aText)
{
  std::lock_guard lock(impl_->mutex_);
  impl_->file_ << NowMs() << " ms: " << aText << std::endl;
}

} // namespace cornelfront::review
