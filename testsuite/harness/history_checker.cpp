#include "history_checker.h"

#include "cornelfront/codec.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace cornelfront::harness {

using Json = nlohmann::json;

std::vector<StartRecord>
ReadRecords(const std::string& aFile, unsigned aUpstream)
{
  std::vector<StartRecord> records;
  std::ifstream file(aFile);
  for (std::string line; std::getline(file, line);) {
    const Json json = Json::parse(line, nullptr, false);
    if (!json.is_object()) {
      continue;
    }
    records.push_back(
      { .submission_ = json.at("submission"),
        .index_ = json.at("index"),
        .bodyDigest_ = json.at("body_digest"),
        .started_ = WallTime(Millis(json.at("started_unix_ms").get<int64_t>())),
        .upstream_ = aUpstream });
  }
  return records;
}

void
HistoryChecker::RecordAnswer(const Submission& aSubmission,
                             const CallerAnswer& aAnswer)
{
  const std::scoped_lock lock(mutex_);
  SubmissionHistory& history = histories_[aSubmission.id_];
  history.submission_ = aSubmission;
  history.answers_.push_back(
    { .answer_ = aAnswer, .received_ = WallClock::now() });
}

CallerAnswer
HistoryChecker::Submit(Caller& aCaller, const Submission& aSubmission)
{
  CallerAnswer answer = aCaller.Submit(aSubmission);
  RecordAnswer(aSubmission, answer);
  return answer;
}

void
HistoryChecker::Check(const std::vector<StartRecord>& aStarts) const
{
  const std::scoped_lock lock(mutex_);
  std::map<std::string, std::vector<StartRecord>> bySubmission;
  for (const StartRecord& start : aStarts) {
    bySubmission[start.submission_].push_back(start);
  }
  for (const auto& [id, history] : histories_) {
    CheckHistory(history, bySubmission[id]);
  }
}

void
HistoryChecker::CheckHistory(const SubmissionHistory& aHistory,
                             const std::vector<StartRecord>& aStarts)
{
  CheckStarts(aHistory.submission_, aStarts);
  const auto isRefused = [](const ReceivedAnswer& aReceived) {
    return aReceived.answer_.outcome_ == AnswerOutcome::Refused;
  };
  const std::string& id = aHistory.submission_.id_;
  if (std::ranges::all_of(aHistory.answers_, isRefused)) {
    EXPECT_TRUE(aStarts.empty()) << id << " was only refused";
  }
  for (const ReceivedAnswer& received : aHistory.answers_) {
    if (received.answer_.outcome_ == AnswerOutcome::Completed) {
      EXPECT_TRUE(HasExpectedResults(received.answer_, aHistory.submission_))
        << id << " " << received.answer_;
      EXPECT_EQ(aStarts.size(), aHistory.submission_.bodies_.size()) << id;
    } else if (received.answer_.outcome_ == AnswerOutcome::Refused) {
      CheckRefusal(received, aStarts);
    }
  }
}

void
HistoryChecker::CheckStarts(const Submission& aSubmission,
                            const std::vector<StartRecord>& aStarts)
{
  std::set<unsigned> started;
  for (const StartRecord& start : aStarts) {
    EXPECT_TRUE(started.insert(start.index_).second)
      << aSubmission.id_ << " task " << start.index_ << " started again";
    EXPECT_EQ(start.bodyDigest_,
              Sha256Hex(aSubmission.bodies_.at(start.index_)))
      << aSubmission.id_ << " task " << start.index_;
  }
}

void
HistoryChecker::CheckRefusal(const ReceivedAnswer& aRefusal,
                             const std::vector<StartRecord>& aStarts)
{
  const auto startedBefore = [&aRefusal](const StartRecord& aStart) {
    return aStart.started_ < aRefusal.received_;
  };
  EXPECT_FALSE(std::ranges::any_of(aStarts, startedBefore))
    << "refused what had started: " << aRefusal.answer_;
  EXPECT_FALSE(aRefusal.answer_.mayHaveRun_) << aRefusal.answer_;
}

std::string
HistoryChecker::Lost() const
{
  const std::scoped_lock lock(mutex_);
  std::ostringstream text;
  for (const auto& [id, history] : histories_) {
    const CallerAnswer& newest = history.answers_.back().answer_;
    if (newest.outcome_ == AnswerOutcome::Failed ||
        newest.outcome_ == AnswerOutcome::None) {
      text << id << ": " << history.answers_.front().answer_ << " then "
           << newest << "\n";
    }
  }
  return text.str();
}

size_t
HistoryChecker::Count(AnswerOutcome aOutcome) const
{
  const std::scoped_lock lock(mutex_);
  return static_cast<size_t>(
    std::ranges::count_if(histories_, [aOutcome](const auto& aItem) {
      return aItem.second.answers_.back().answer_.outcome_ == aOutcome;
    }));
}

} // namespace cornelfront::harness
