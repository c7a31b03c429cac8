/// \file
/// A scheduled job while the store is slow: an occurrence that is done must not
/// run again.

#include "case.h"

#include <map>
#include <thread>

namespace cornelfront::review {
namespace {

constexpr const char* kJob = "00000000000000a1";
constexpr int kOccurrences = 3;

} // namespace

bool
PlayCase1(Record& aRecord, bool aTrouble)
{
  Deployment deployment({ .storeProxies_ = true }, aRecord);
  deployment.WaitReady();
  const std::string body =
    R"({"spec":"ms=300","steps":[{"count":1,"cpu":1000,"memMb":64,)"
    R"("estimateMs":300}],"repeats":)" +
    std::to_string(kOccurrences) + R"(,"startAtMs":)" +
    std::to_string(WallMs() + 2000) + R"(,"intervalMs":1000})";
  if (!deployment.Submit(0, kJob, body)) {
    throw CannotRun("the job was not accepted");
  }
  if (aTrouble) {
    // An answer of the store takes a little over 230 ms; 60 times the 4 ms of
    // the site are 240.
    for (unsigned i = 0; i < 2; ++i) {
      deployment.StoreProxy(i, R"({"delay_ms":115})");
    }
    std::this_thread::sleep_for(Millis(4300));
    for (unsigned i = 0; i < 2; ++i) {
      deployment.StoreProxy(i, R"({"delay_ms":0})");
    }
  }
  WaitUntil([&] { return deployment.State(1, kJob, false) == "completed"; },
            Millis(20000));
  deployment.State(1, kJob);
  deployment.RecordRuns();
  // The time of the first noted end `done` of each task.
  std::map<std::string, int64_t> done;
  bool held = true;
  for (const RunSeen& run : deployment.RunsOf(kJob)) {
    const auto earlier = done.find(run.task_);
    if (earlier != done.end() && run.begun_ > earlier->second) {
      aRecord.Line("TWICE: " + run.task_ + " started again as number " +
                   std::to_string(run.run_) + ", " +
                   std::to_string(run.begun_ - earlier->second) +
                   " ms after it had ended done");
      held = false;
    }
    if (run.how_ == "done" && run.acknowledged_ > 0) {
      done.emplace(run.task_, run.ended_);
    }
  }
  if (deployment.RunsOf(kJob).size() < kOccurrences) {
    throw CannotRun("the job has not run");
  }
  return held;
}

} // namespace cornelfront::review
