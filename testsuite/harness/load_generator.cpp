#include "load_generator.h"

namespace cornelfront::harness {
namespace {

constexpr unsigned kMaxAttempts = 40;
constexpr Millis kRetryBackoff{ 50 };

} // namespace

LoadGenerator::LoadGenerator(const Cluster& aCluster,
                             HistoryChecker& aChecker,
                             LoadGeneratorOptions aOptions)
  : cluster_(aCluster)
  , checker_(aChecker)
  , options_(std::move(aOptions))
{
  for (unsigned i = 0; i < options_.callers_; ++i) {
    threads_.emplace_back([this, i] { RunCaller(i); });
  }
}

LoadGenerator::~LoadGenerator()
{
  Stop();
}

void
LoadGenerator::Stop()
{
  stopping_ = true;
  threads_.clear();
}

void
LoadGenerator::Finish()
{
  threads_.clear();
}

void
LoadGenerator::RunCaller(unsigned aCaller)
{
  for (unsigned request = 0;
       !stopping_ && (options_.requests_ == 0 || request < options_.requests_);
       ++request) {
    ++(RunRequest(aCaller, request) ? completed_ : lost_);
  }
}

bool
LoadGenerator::RunRequest(unsigned aCaller, unsigned aRequest)
{
  const bool isJob =
    options_.jobEvery_ != 0 && aRequest % options_.jobEvery_ == 0;
  const std::string name =
    std::to_string(aCaller) + "-" + std::to_string(aRequest);
  for (unsigned attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const auto now = WallClock::now().time_since_epoch();
    const std::string suffix =
      name + "-" + std::to_string(attempt) + "-" +
      std::to_string(std::chrono::duration_cast<Millis>(now).count());
    const AnswerOutcome answer = SubmitOnce(aCaller + attempt, suffix, isJob);
    if (answer != AnswerOutcome::Refused) {
      return answer == AnswerOutcome::Completed;
    }
    if (stopping_) {
      // A request counts as lost only after all its attempts, so one that Stop
      // interrupts does not.
      return true;
    }
    std::this_thread::sleep_for(kRetryBackoff);
  }
  return false;
}

/// Returns Refused also if the request was not sent.
AnswerOutcome
LoadGenerator::SubmitOnce(unsigned aEntry,
                          const std::string& aSuffix,
                          bool aIsJob)
{
  Caller caller(cluster_.EntryUrl(EntryFor(aEntry)));
  std::string prefix;
  try {
    prefix = caller.FetchKeyPrefix();
  } catch (const std::runtime_error&) {
    return AnswerOutcome::Refused;
  }
  const Submission submission = MakeSubmission(prefix + "." + aSuffix,
                                               aIsJob ? options_.jobTasks_ : 1,
                                               options_.run_,
                                               options_.call_);
  const CallerAnswer first = checker_.Submit(caller, submission);
  const AnswerOutcome answer =
    first.sent_ ? first.outcome_ : AnswerOutcome::Refused;
  const bool open =
    answer == AnswerOutcome::None || answer == AnswerOutcome::Failed;
  if (!options_.resubmit_ || !open) {
    return answer;
  }
  Caller other(cluster_.EntryUrl(EntryFor(aEntry + 1)));
  const AnswerOutcome second = checker_.Submit(other, submission).outcome_;
  return second == AnswerOutcome::None ? AnswerOutcome::Failed : second;
}

unsigned
LoadGenerator::EntryFor(unsigned aChoice) const
{
  return aChoice % cluster_.Entries();
}

} // namespace cornelfront::harness
