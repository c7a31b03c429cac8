#include "load.h"

namespace cornelfront::harness {
namespace {

constexpr unsigned kAttempts = 40;
constexpr Millis kPause{ 50 };

} // namespace

Load::Load(const Cluster& aCluster, Judge& aJudge, LoadOptions aOptions)
  : cluster_(aCluster)
  , judge_(aJudge)
  , options_(std::move(aOptions))
{
  for (unsigned i = 0; i < options_.callers_; ++i) {
    threads_.emplace_back([this, i] { RunCaller(i); });
  }
}

Load::~Load()
{
  Stop();
}

void
Load::Stop()
{
  stopping_ = true;
  threads_.clear();
}

void
Load::Finish()
{
  threads_.clear();
}

void
Load::RunCaller(unsigned aCaller)
{
  for (unsigned request = 0;
       !stopping_ && (options_.requests_ == 0 || request < options_.requests_);
       ++request) {
    ++(RunRequest(aCaller, request) ? completed_ : lost_);
  }
}

bool
Load::RunRequest(unsigned aCaller, unsigned aRequest)
{
  const bool isJob =
    options_.jobEvery_ != 0 && aRequest % options_.jobEvery_ == 0;
  const std::string name =
    std::to_string(aCaller) + "-" + std::to_string(aRequest);
  for (unsigned attempt = 0; attempt < kAttempts; ++attempt) {
    const auto now = WallClock::now().time_since_epoch();
    const std::string suffix =
      name + "-" + std::to_string(attempt) + "-" +
      std::to_string(std::chrono::duration_cast<Millis>(now).count());
    const Answer answer = SubmitOnce(aCaller + attempt, suffix, isJob);
    if (answer != Answer::Refused) {
      return answer == Answer::Completed;
    }
    if (stopping_) {
      // A request counts as lost only after all its attempts, so one that Stop
      // interrupts does not.
      return true;
    }
    std::this_thread::sleep_for(kPause);
  }
  return false;
}

/// Returns Refused also if the request was not sent.
Answer
Load::SubmitOnce(unsigned aEntry, const std::string& aSuffix, bool aIsJob)
{
  Caller caller(cluster_.EntryUrl(EntryFor(aEntry)));
  std::string prefix;
  try {
    prefix = caller.TakePrefix();
  } catch (const std::runtime_error&) {
    return Answer::Refused;
  }
  const Submission submission = MakeSubmission(prefix + "." + aSuffix,
                                               aIsJob ? options_.jobTasks_ : 1,
                                               options_.run_,
                                               options_.call_);
  const CallerAnswer first = judge_.Submit(caller, submission);
  const Answer answer = first.sent_ ? first.outcome_ : Answer::Refused;
  const bool open = answer == Answer::None || answer == Answer::Failed;
  if (!options_.resubmit_ || !open) {
    return answer;
  }
  Caller other(cluster_.EntryUrl(EntryFor(aEntry + 1)));
  const Answer second = judge_.Submit(other, submission).outcome_;
  return second == Answer::None ? Answer::Failed : second;
}

unsigned
Load::EntryFor(unsigned aChoice) const
{
  return aChoice % cluster_.Entries();
}

} // namespace cornelfront::harness
