/// \file
/// A job of many short tasks while the store turns the leader's machine away:
/// tasks that are done must not run again under the next leader.

#include "case.h"

#include <map>
#include <thread>

namespace cornelfront::review {
namespace {

constexpr const char* kJob = "00000000000000b2";

} // namespace

bool
PlayCase2(Record& aRecord, bool aTrouble)
{
  Deployment deployment(
    { .entries_ = 3, .executors_ = 2, .cpu_ = 32000, .storeProxies_ = true },
    aRecord);
  deployment.WaitReady();
  const auto leader = static_cast<unsigned>(deployment.Leader());
  const unsigned other = (leader + 1) % 3;
  if (!deployment.Submit(
        other,
        kJob,
        R"({"spec":"ms=100","steps":[{"count":1900,"cpu":1000,"memMb":64,)"
        R"("estimateMs":100}]})")) {
    throw CannotRun("the job was not accepted");
  }
  std::this_thread::sleep_for(Millis(400));
  if (aTrouble) {
    deployment.StoreProxy(leader, R"({"freeze":true})");
    std::this_thread::sleep_for(Millis(6500));
    deployment.StoreProxy(leader, R"({"freeze":false})");
  }
  const bool completed = WaitUntil(
    [&] { return deployment.State(other, kJob, false) == "completed"; },
    Millis(30000));
  aRecord.Line(completed ? "the job is completed" : "the job goes on");
  aRecord.Line("entry " + std::to_string(deployment.Leader()) + " leads");
  deployment.RecordRuns();
  std::map<std::string, int64_t> done;
  int again = 0;
  for (const RunSeen& run : deployment.RunsOf(kJob)) {
    const auto earlier = done.find(run.task_);
    if (earlier != done.end() && run.begun_ > earlier->second) {
      if (++again <= 20) {
        aRecord.Line("TWICE: " + run.task_ + " started again as number " +
                     std::to_string(run.run_) + ", " +
                     std::to_string(run.begun_ - earlier->second) +
                     " ms after it had ended done");
      }
    }
    if (run.how_ == "done" && run.acknowledged_ > 0) {
      done.emplace(run.task_, run.ended_);
    }
  }
  aRecord.Line(std::to_string(done.size()) + " tasks done, " +
               std::to_string(again) + " starts after that");
  if (done.empty()) {
    throw CannotRun("the job has not run");
  }
  return again == 0;
}

} // namespace cornelfront::review
