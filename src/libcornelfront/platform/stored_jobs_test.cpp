#include "stored_jobs.h"

#include "cornelfront/codec.h"
#include "cornelfront/http_server.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace cornelfront {
namespace {

constexpr MemberId kSelf{ 16 };
constexpr MemberId kOther{ 32 };
constexpr MemberId kSidecar{ 7 };
const std::string kJob = "00000000000000a1";

std::string
BigEndian(uint64_t aNumber, size_t aSize)
{
  std::string bytes;
  for (size_t i = aSize; i > 0; --i) {
    bytes.push_back(static_cast<char>(aNumber >> (8U * (i - 1))));
  }
  return bytes;
}

std::vector<KeyedRecord>
DecodeRecords(std::string_view aBody)
{
  std::vector<KeyedRecord> records;
  while (!aBody.empty()) {
    size_t length = 0;
    for (int i = 0; i < 4; ++i) {
      length = length << 8U | static_cast<unsigned char>(aBody[i]);
    }
    const std::string_view record = aBody.substr(4, length);
    const auto keyBytes = static_cast<unsigned char>(record.front());
    records.push_back({ std::string(record.substr(1, keyBytes)),
                        std::string(record.substr(1 + keyBytes)) });
    aBody.remove_prefix(4 + length);
  }
  return records;
}

/// StoredJobs with a scheduler, beside a store in memory with one partition.
class StoredJobsTest : public testing::Test
{
protected:
  StoredJobsTest()
    : server_({ .loop_ = &loop_ },
              [this](const HttpRequest& aRequest, const HttpReply& aReply) {
                Serve(aRequest, aReply);
              })
    , store_(loop_, { "127.0.0.1", server_.Port() })
  {
    stored_ = std::make_unique<StoredJobs>(
      loop_,
      store_,
      scheduler_,
      kSelf,
      "self",
      StoredJobsHooks{
        .onActions_ = [this] { Perform(); },
        .onBecomeLeader_ = [](const TakeOver&) {},
        .onAuthority_ = [](const LeaderAuthority&) {},
        .findQueue_ = [this](const std::string&) { return queue_; },
        .isConfigured_ = [this] { return configured_; } });
  }

  ~StoredJobsTest() override
  {
    stored_.reset();
    reads_.clear();
    held_.clear();
  }

  void Serve(const HttpRequest& aRequest, const HttpReply& aReply)
  {
    if (aRequest.path_ == "/log-append") {
      const auto epoch = std::stoull(aRequest.Query("epoch", "0"));
      uint64_t& newest = epochs_[aRequest.Query("producer")];
      if (epoch < newest) {
        aReply.Send({ .status_ = 409 });
      } else if (holdAppends_) {
        held_.push_back([this, aRequest, aReply] { Serve(aRequest, aReply); });
      } else {
        newest = epoch;
        Append(DecodeRecords(aRequest.body_));
        if (holdAnswers_) {
          held_.push_back([aReply] { aReply.Send({ .body_ = "{}" }); });
        } else {
          aReply.Send({ .body_ = "{}" });
        }
      }
    } else if (aRequest.path_ == "/log-read") {
      const uint64_t from = std::stoull(aRequest.Query("from"));
      if (from < records_.size()) {
        Answer(from, aReply);
      } else {
        reads_.push_back(
          { from,
            MonoClock::now() + Millis(std::stoll(aRequest.Query("waitMs"))),
            aReply });
      }
    } else {
      std::map<std::string, std::string> newest;
      for (const KeyedRecord& record : records_) {
        newest[record.key_] = record.value_;
      }
      nlohmann::json items = nlohmann::json::array();
      for (const auto& [key, value] : newest) {
        if (!value.empty()) {
          items.push_back({ { "key", key }, { "value", EncodeBase64(value) } });
        }
      }
      aReply.Send({ .body_ = nlohmann::json{ { "items", items },
                                             { "hasMore", false },
                                             { "end", records_.size() } }
                               .dump() });
    }
  }

  void Answer(uint64_t aFrom, const HttpReply& aReply) const
  {
    std::string body = BigEndian(records_.size(), 8) + BigEndian(0, 8);
    for (size_t i = aFrom; i < records_.size(); ++i) {
      body += platform::EncodeRecord(records_[i]);
    }
    aReply.Send({ .body_ = body });
  }

  void Append(const std::vector<KeyedRecord>& aRecords)
  {
    records_.insert(records_.end(), aRecords.begin(), aRecords.end());
    for (const Read& read : std::exchange(reads_, {})) {
      Answer(read.from_, read.reply_);
    }
  }

  void EndReads()
  {
    std::erase_if(reads_, [this](const Read& aRead) {
      const bool over = MonoClock::now() >= aRead.until_;
      if (over) {
        Answer(aRead.from_, aRead.reply_);
      }
      return over;
    });
  }

  void ReleaseAppends()
  {
    holdAppends_ = false;
    holdAnswers_ = false;
    for (const auto& append : std::exchange(held_, {})) {
      append();
    }
  }

  /// Accepts a job of one task, the first occurrence of which is due now.
  void AppendScheduledJob(uint32_t aRepeats, Millis aInterval)
  {
    const auto now = std::chrono::duration_cast<Millis>(
      std::chrono::system_clock::now().time_since_epoch());
    Append({ AcceptanceRecord({ { .id_ = kJob,
                                  .payload_ = "p",
                                  .steps_ = { { .count_ = 1,
                                                .resources_ = { .cpu_ = 1000 },
                                                .estimate_ = Millis(100) } },
                                  .repeats_ = aRepeats,
                                  .firstDue_ = now,
                                  .interval_ = aInterval },
                                "q",
                                Millis(0),
                                {} }) });
  }

  /// Number of the first run that was sent.
  uint32_t FirstRun() const
  {
    const auto sent = std::find_if(
      actions_.begin(), actions_.end(), [](const JobAction& aAction) {
        return std::holds_alternative<SendRuns>(aAction);
      });
    return std::get<SendRuns>(*sent).orders_.runs_.at(0).run_;
  }

  /// Indices of the tasks that were sent.
  std::set<uint32_t> SentTasks() const
  {
    std::set<uint32_t> tasks;
    for (const JobAction& action : actions_) {
      if (const auto* send = std::get_if<SendRuns>(&action)) {
        for (const RunOrder& order : send->orders_.runs_) {
          tasks.insert(order.index_);
        }
      }
    }
    return tasks;
  }

  /// Reports the end of a run of the sidecar.
  void Report(uint32_t aIndex, RunEnd aEnd, uint32_t aRun = 1)
  {
    scheduler_.OnReports(
      kSidecar,
      { .reports_ = { { .key_ = { { kJob, 0, 0, aIndex }, aRun },
                        .end_ = aEnd,
                        .unacknowledged_ = true } },
        .upstream_ = Upstream() },
      BootNow());
    Perform();
  }

  static UpstreamReport Upstream()
  {
    return { .service_ = "desk",
             .upstream_ = "u",
             .ready_ = true,
             .capacity_ = { .cpu_ = 4000 } };
  }

  void Perform()
  {
    for (JobAction& action : scheduler_.TakeActions()) {
      if (const auto* save = std::get_if<SaveJob>(&action)) {
        stored_->Save(*save);
      } else {
        actions_.push_back(std::move(action));
      }
    }
  }

  template<class Action>
  size_t Count() const
  {
    return static_cast<size_t>(std::count_if(
      actions_.begin(), actions_.end(), [](const JobAction& aAction) {
        return std::holds_alternative<Action>(aAction);
      }));
  }

  /// Number of records of this key, those with a value or the deletions.
  size_t CountRecords(const std::string& aKey, bool aDeletions) const
  {
    return static_cast<size_t>(std::count_if(
      records_.begin(), records_.end(), [&](const KeyedRecord& aRecord) {
        return aRecord.key_ == aKey && aRecord.value_.empty() == aDeletions;
      }));
  }

  /// Runs the loop until the condition holds.
  bool RunUntil(const std::function<bool()>& aCondition,
                Millis aLimit = Millis(15000))
  {
    const MonoTime end = MonoClock::now() + aLimit;
    while (!aCondition() && MonoClock::now() < end) {
      loop_.run_one_for(Millis(5));
      EndReads();
      scheduler_.Tick(BootNow() + offset_);
      stored_->Tick(BootNow() + offset_);
      Perform();
    }
    return aCondition();
  }

  bool RunUntilLeader()
  {
    return RunUntil([this] { return stored_->Term() > 0; });
  }

  void LinkSidecar()
  {
    scheduler_.OnSidecarLinked(kSidecar, "z", BootNow());
    scheduler_.OnReports(kSidecar, { .upstream_ = Upstream() }, BootNow());
  }

  static ConfiguredQueue QueueOf(const std::string& aService, int64_t aVersion)
  {
    return { .queue_ = { .name_ = "q", .service_ = aService },
             .version_ = aVersion };
  }

  /// Without a version, the queue is known by its name only, as in records of
  /// earlier builds.
  static KeyedRecord Accepted(const ConfiguredQueue& aQueue = {})
  {
    return AcceptanceRecord(
      { .job_ = { .id_ = kJob,
                  .payload_ = "p",
                  .steps_ = { { .count_ = 2,
                                .resources_ = { .cpu_ = 1000 },
                                .estimate_ = Millis(100) } } },
        .queue_ = "q",
        .configured_ = aQueue });
  }

  asio::io_context loop_;
  std::vector<KeyedRecord> records_;
  std::map<std::string, uint64_t> epochs_;
  /// Long polls that wait for records.
  struct Read
  {
    uint64_t from_;
    MonoTime until_;
    HttpReply reply_;
  };
  std::vector<Read> reads_;
  bool holdAppends_ = false;
  /// Appends are carried out and not answered.
  bool holdAnswers_ = false;
  std::vector<std::function<void()>> held_;
  /// The queue "q" in the newest configuration.
  std::optional<ConfiguredQueue> queue_ = QueueOf("desk", 1);
  /// The operator's records have been read.
  bool configured_ = true;
  std::vector<JobAction> actions_;
  /// Added to the present time of timers.
  Millis offset_{ 0 };
  HttpServer server_;
  platform::StoreClient store_;
  JobScheduler scheduler_{ JobSchedulerOptions{ .zone_ = "z" } };
  std::unique_ptr<StoredJobs> stored_;
};

TEST_F(StoredJobsTest, PlacesNothingOnASidecarWhoseRegistrationItHasNotRead)
{
  LinkSidecar();
  ASSERT_TRUE(RunUntilLeader());
  Append({ Accepted() });
  EXPECT_FALSE(RunUntil([this] { return Count<SendRuns>() > 0; }, Millis(400)))
    << "a later leader may not wait for its runs";
  Append({ SidecarRecord("s", kSidecar) });
  EXPECT_TRUE(RunUntil([this] { return Count<SendRuns>() > 0; }));
}

TEST_F(StoredJobsTest,
       AnOccurrenceThatIsDoneDoesNotStartAgainWhileTheStoreIsSlow)
{
  LinkSidecar();
  Append({ SidecarRecord("s", kSidecar) });
  ASSERT_TRUE(RunUntilLeader());
  stored_->OnTakenOver("s", kSidecar, stored_->Term());
  AppendScheduledJob(2, Millis(60000));
  ASSERT_TRUE(RunUntil([this] { return Count<SendRuns>() == 1; }));
  holdAppends_ = true;
  Report(0, RunEnd::Done, FirstRun());
  RunUntil([] { return false; }, Millis(500));
  EXPECT_EQ(Count<SendRuns>(), 1U);
  ReleaseAppends();
  RunUntil([] { return false; }, Millis(500));
  EXPECT_EQ(Count<SendRuns>(), 1U);
  EXPECT_EQ(Count<SendAcknowledgement>(), 1U);
}

// Its cancellation is read while the end is on its way to the store.
TEST_F(StoredJobsTest, AFailedOccurrenceStartsNothingWhileTheStoreIsSlow)
{
  LinkSidecar();
  Append({ SidecarRecord("s", kSidecar) });
  ASSERT_TRUE(RunUntilLeader());
  stored_->OnTakenOver("s", kSidecar, stored_->Term());
  AppendScheduledJob(3, Millis(50));
  const auto done = [this] { return Count<SendRuns>() == 3; };
  ASSERT_TRUE(RunUntil(done));
  holdAppends_ = true;
  const uint32_t run = FirstRun();
  for (int attempt = 0; attempt < 3; ++attempt) {
    Report(0, RunEnd::Failed, run + static_cast<uint32_t>(attempt));
    RunUntil([] { return false; }, Millis(50));
  }
  const size_t sent = Count<SendRuns>();
  Append({ CancellationRecord(kJob) });
  RunUntil([] { return false; }, Millis(500));
  EXPECT_EQ(Count<SendRuns>(), sent);
  ReleaseAppends();
  RunUntil([] { return false; }, Millis(500));
  EXPECT_EQ(Count<SendRuns>(), sent);
  EXPECT_EQ(stored_->State(kJob), JobState::Failed);
}

TEST_F(StoredJobsTest, KeepsARegistrationThatWasLostInAnEarlierTermOnly)
{
  Append({ SidecarRecord("s", kSidecar) });
  ASSERT_TRUE(RunUntilLeader());
  RunUntil([] { return false; }, Millis(300));
  Append({ MakeLeaderRecord({ .term_ = 2, .id_ = kOther }) });
  epochs_["leader"] = 2;
  ASSERT_TRUE(RunUntil([this] { return stored_->Term() == 0; }));
  ASSERT_TRUE(RunUntilLeader());
  // 60 s after the loss in the first term, but not in this one.
  offset_ = Millis(58500);
  RunUntil([] { return false; }, Millis(300));
  EXPECT_EQ(CountRecords("w/s", true), 0U);
}

TEST_F(StoredJobsTest, RegistersASidecarAgainThatReturnsAfterItsRemoval)
{
  Append({ SidecarRecord("s", kSidecar) });
  ASSERT_TRUE(RunUntilLeader());
  RunUntil([] { return false; }, Millis(300));
  offset_ = Millis(61000);
  ASSERT_TRUE(RunUntil([this] { return CountRecords("w/s", true) == 1; }));
  stored_->OnTakenOver("s", kSidecar, stored_->Term());
  EXPECT_TRUE(RunUntil([this] { return CountRecords("w/s", false) == 2; }));
}

TEST_F(StoredJobsTest, RenewsAlthoughItDeletesAcceptancesOfEndedJobs)
{
  Append({ FinalRecord(kJob, JobState::Completed) });
  ASSERT_TRUE(RunUntilLeader());
  const size_t renewals = CountRecords("leader", false);
  for (int i = 0; i < 10; ++i) {
    Append({ Accepted() });
    RunUntil([] { return false; }, Millis(200));
  }
  EXPECT_GT(CountRecords("a/" + kJob, true), 5U);
  EXPECT_GT(CountRecords("leader", false), renewals)
    << "other processes see no sign of life in the deletions";
}

TEST_F(StoredJobsTest, AcknowledgesNoEndOfAJobThatIsBeingClosed)
{
  Append({ SidecarRecord("s", kSidecar), Accepted() });
  LinkSidecar();
  ASSERT_TRUE(RunUntilLeader());
  stored_->OnTakenOver("s", kSidecar, stored_->Term());
  ASSERT_TRUE(RunUntil([this] { return Count<SendRuns>() > 0; }));
  holdAppends_ = true;
  Report(0, RunEnd::Failed);
  Report(1, RunEnd::Done);
  RunUntil([] { return false; }, Millis(300));
  EXPECT_EQ(Count<SendAcknowledgement>(), 0U)
    << "another leader may restart the task";
  ReleaseAppends();
  EXPECT_TRUE(
    RunUntil([this] { return CountRecords("t/" + kJob, false) > 0; }));
  EXPECT_TRUE(RunUntil([this] { return Count<SendAcknowledgement>() == 2; }));
}

TEST_F(StoredJobsTest, CountsEndsThatCameBeforeTheQueueWasKnown)
{
  queue_.reset();
  Append({ SidecarRecord("s", kSidecar), Accepted() });
  LinkSidecar();
  ASSERT_TRUE(RunUntilLeader());
  Report(0, RunEnd::Done);
  EXPECT_EQ(Count<SendAcknowledgement>(), 0U);
  queue_ = QueueOf("desk", 1);
  stored_->OnConfiguration(BootNow());
  stored_->OnTakenOver("s", kSidecar, stored_->Term());
  ASSERT_TRUE(RunUntil([this] { return Count<SendRuns>() > 0; }));
  EXPECT_EQ(SentTasks(), std::set<uint32_t>{ 1 }) << "task 0 is done";
  EXPECT_EQ(Count<SendRuns>(), 1U);
  EXPECT_TRUE(RunUntil([this] { return Count<SendAcknowledgement>() == 1; }));
}

// Guards against TWICE: such an end was acknowledged without being stored, and
// the task ran again once the queue was back.
TEST_F(StoredJobsTest, EndsOfAQueueThatIsGoneAreStoredAndHoldBackNoOthers)
{
  queue_.reset();
  Append({ SidecarRecord("s", kSidecar), Accepted() });
  LinkSidecar();
  ASSERT_TRUE(RunUntilLeader());
  stored_->OnTakenOver("s", kSidecar, stored_->Term());
  holdAppends_ = true;
  Report(0, RunEnd::Done);
  offset_ = Millis(10500);
  RunUntil([] { return false; }, Millis(300));
  EXPECT_EQ(Count<SendAcknowledgement>(), 0U);
  offset_ = Millis(0);
  ReleaseAppends();
  ASSERT_TRUE(RunUntil([this] { return Count<SendAcknowledgement>() == 1; }));
  EXPECT_EQ(CountRecords("s/" + kJob + "/0", false), 1U);
  queue_ = QueueOf("desk", 3);
  stored_->OnConfiguration(BootNow());
  ASSERT_TRUE(RunUntil([this] { return Count<SendRuns>() > 0; }));
  EXPECT_EQ(SentTasks(), std::set<uint32_t>{ 1 }) << "task 0 is done";
}

// Guards against LOST: an accepted job waited for a configuration that has its
// queue.
TEST_F(StoredJobsTest, AJobRunsByTheQueueThatItWasAcceptedBy)
{
  queue_.reset();
  Append({ SidecarRecord("s", kSidecar), Accepted(QueueOf("desk", 1)) });
  LinkSidecar();
  ASSERT_TRUE(RunUntilLeader());
  stored_->OnTakenOver("s", kSidecar, stored_->Term());
  EXPECT_TRUE(RunUntil([this] { return Count<SendRuns>() > 0; }));
}

TEST_F(StoredJobsTest, AJobRunsByTheNewestKnownConfigurationOfItsQueue)
{
  queue_ = QueueOf("other", 4);
  Append({ SidecarRecord("s", kSidecar), Accepted(QueueOf("other", 3)) });
  LinkSidecar();
  ASSERT_TRUE(RunUntilLeader());
  stored_->OnTakenOver("s", kSidecar, stored_->Term());
  RunUntil([] { return false; }, Millis(300));
  EXPECT_EQ(Count<SendRuns>(), 0U);
  queue_ = QueueOf("desk", 5);
  stored_->OnConfiguration(BootNow());
  EXPECT_TRUE(RunUntil([this] { return Count<SendRuns>() > 0; }));
}

TEST_F(StoredJobsTest, AnOlderConfigurationThanThatOfTheAcceptanceDoesNotCount)
{
  queue_ = QueueOf("other", 2);
  Append({ SidecarRecord("s", kSidecar), Accepted(QueueOf("desk", 3)) });
  LinkSidecar();
  ASSERT_TRUE(RunUntilLeader());
  stored_->OnTakenOver("s", kSidecar, stored_->Term());
  EXPECT_TRUE(RunUntil([this] { return Count<SendRuns>() > 0; }));
}

// Of records of earlier builds, the queue is known by its name only.
TEST_F(StoredJobsTest, AQueueThatIsDroppedIsRememberedForItsJobs)
{
  Append({ SidecarRecord("s", kSidecar), Accepted() });
  ASSERT_TRUE(RunUntilLeader());
  queue_.reset();
  stored_->OnConfiguration(BootNow());
  LinkSidecar();
  stored_->OnTakenOver("s", kSidecar, stored_->Term());
  EXPECT_TRUE(RunUntil([this] { return Count<SendRuns>() > 0; }));
}

// A leader that does not know the zones out of service might use them.
TEST_F(StoredJobsTest, ClaimsNothingBeforeItHasReadTheOperatorsRecords)
{
  configured_ = false;
  EXPECT_FALSE(RunUntil([this] { return stored_->Term() > 0; }, Millis(3500)));
  configured_ = true;
  EXPECT_TRUE(RunUntilLeader());
}

// Its earlier leader may have started it on a sidecar that has not been taken
// over.
TEST_F(StoredJobsTest, AJobWhoseQueueIsKnownLateWaitsForTheTakeover)
{
  constexpr MemberId kNotTakenOver{ 78 };
  records_ = { MakeLeaderRecord(
                 { .term_ = 7, .id_ = MemberId{ 77 }, .name_ = "x" }),
               SidecarRecord("s", kSidecar),
               SidecarRecord("s2", kNotTakenOver),
               Accepted() };
  const auto queue = std::exchange(queue_, std::nullopt);
  LinkSidecar();
  ASSERT_TRUE(RunUntilLeader());
  stored_->OnTakenOver("s", kSidecar, stored_->Term());
  RunUntil([] { return false; }, Millis(200));
  queue_ = queue;
  stored_->OnConfiguration(BootNow());
  EXPECT_FALSE(RunUntil([this] { return Count<SendRuns>() > 0; }, Millis(700)));
  stored_->OnTakenOver("s2", kNotTakenOver, stored_->Term());
  ASSERT_TRUE(RunUntil([this] { return Count<SendRuns>() > 0; }, Millis(700)));
  EXPECT_GT(FirstRun(), 8000U) << "numbers of an earlier term";
}

// Guards against TWICE: the acceptance outlived its job, which counted as
// queued again once its final state had expired.
TEST_F(StoredJobsTest, AnAcceptanceThatIsConfirmedLateRevivesNoJob)
{
  ASSERT_TRUE(RunUntil([this] { return stored_->IsFresh(BootNow()); }));
  holdAnswers_ = true;
  bool accepted = false;
  stored_->Accept({ .id_ = kJob, .steps_ = { { .count_ = 1 } } },
                  QueueOf("desk", 1),
                  [&](platform::StoreOutcome) { accepted = true; });
  const auto state = [this] { return stored_->State(kJob); };
  ASSERT_TRUE(RunUntil([&] { return state() == JobState::Queued; }));
  Append({ FinalRecord(kJob, JobState::Completed), { "a/" + kJob, "" } });
  ASSERT_TRUE(RunUntil([&] { return state() == JobState::Completed; }));
  ReleaseAppends();
  ASSERT_TRUE(RunUntil([&] { return accepted; }));
  Append({ { "t/" + kJob, "" } });
  EXPECT_TRUE(RunUntil([&] { return state() != JobState::Completed; }));
  EXPECT_FALSE(state());
}

} // namespace
} // namespace cornelfront
