#pragma once

/// \file
/// A small deployment on loopback addresses: the programs of this project as
/// separate processes, a stand-in for the store, and executors and clients in
/// this process.

#include "executor.h"

#include <sys/types.h>

#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace review {

/// A child process; ended when the object is destroyed.
class Child
{
public:
  Child(const std::vector<std::string>& aCommand,
        const std::string& aOutput,
        const std::string& aErrors);
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  /// Sends SIGKILL and waits for the end.
  void Kill();

private:
  pid_t pid_ = -1;
};

struct WorldOptions
{
  unsigned entries_ = 2;
  unsigned sidecars_ = 2;
  int64_t cpu_ = 4000;
  int attempts_ = 3;
  int64_t sloMs_ = 2000;
  int priority_ = 1;
};

/// What a client was answered.
struct Reply
{
  /// 0 if there was no answer.
  int status_ = 0;
  std::string state_;
};

/// A job as the client sends it, beside what its tasks do.
struct JobSpec
{
  Work work_;
  unsigned count_ = 1;
  Millis estimate_{ 200 };
  bool bestEffort_ = false;
};

class World
{
public:
  explicit World(WorldOptions aOptions);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  /// Writes a line to record.txt, with the time since the start.
  void Note(const std::string& aText);
  Millis Now() const;

  /// Calls an entry; gives up after \p aDeadline.
  Reply Call(unsigned aEntry,
             const std::string& aMethod,
             const std::string& aId,
             const std::string& aBody = "",
             Millis aDeadline = Millis(1500));
  Reply Submit(unsigned aEntry,
               const std::string& aId,
               const JobSpec& aJob,
               Millis aDeadline = Millis(1500));

  void StartEntry(unsigned aEntry);
  void StartSidecar(unsigned aSidecar);
  Executor& ExecutorAt(unsigned aIndex) { return *executors_.at(aIndex); }
  void KillEntry(unsigned aEntry);
  void KillSidecar(unsigned aSidecar);

  void WriteOperatorRecord(const std::string& aKey, const std::string& aValue);
  void Configure();

  /// Returns all runs so far.
  std::vector<RunRecord> RunList();
  /// Returns the index of the executor that runs a task; -1 if none.
  int Holder(const std::string& aTask);
  /// True if the entry is ready to take jobs.
  bool IsReady(unsigned aEntry) const;
  /// Writes all runs to record.txt.
  void NoteRuns(const std::string& aJob = "");

  /// Waits until a condition holds; returns false if it does not in time.
  bool WaitFor(const std::function<bool()>& aCondition, Millis aLimit);
  void Sleep(Millis aTime);
  Millis At(MonoTime aTime) const;

private:
  std::string EntryHost(unsigned aEntry) const;
  std::string SidecarHost(unsigned aSidecar) const;
  void AwaitReady();

  const WorldOptions options_;
  const MonoTime start_ = MonoClock::now();
  std::ofstream record_;
  std::recursive_mutex recordMutex_;
  std::string directory_;
  uint16_t port_ = 0;
  std::string net_;
  uint16_t storePort_ = 0;
  int version_ = 0;
  int starts_ = 0;
  Runs runs_;
  std::unique_ptr<Child> store_;
  std::vector<std::unique_ptr<Child>> entries_;
  std::vector<std::unique_ptr<Child>> sidecars_;
  std::vector<std::unique_ptr<Executor>> executors_;
};

/// Thrown if a case could not be set up.
class SetupError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// Returns 16 hexadecimal digits.
std::string
JobId(unsigned aNumber);

} // namespace review
