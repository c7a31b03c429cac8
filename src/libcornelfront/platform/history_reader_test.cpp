#include "platform/history_reader.h"
#include "platform/store_stub_test.h"

#include <gtest/gtest.h>

#include <optional>

namespace cornelfront::platform {
namespace {

class HistoryReaderTest : public testing::Test
{
protected:
  HistoryReaderTest()
    : store_(loop_)
    , client_(loop_, store_.Address())
  {
  }

  void Start()
  {
    reader_.emplace(loop_,
                    client_,
                    HistoryReader::Options{
                      .topic_ = "late-orders",
                      .onRecords_ =
                        [this](const std::vector<KeyedRecord>& aRecords) {
                          for (const KeyedRecord& record : aRecords) {
                            values_.push_back(record.value_);
                          }
                        },
                      .onComplete_ = [this] { ++completed_; } });
  }

  bool Completes()
  {
    constexpr Millis kLimit{ 3000 };
    const MonoTime end = MonoClock::now() + kLimit;
    while (completed_ == 0 && MonoClock::now() < end) {
      loop_.run_one_for(Millis(10));
    }
    return completed_ == 1 && reader_->Complete();
  }

  asio::io_context loop_;
  StoreStub store_;
  StoreClient client_;
  std::vector<std::string> values_;
  int completed_ = 0;
  std::optional<HistoryReader> reader_;
};

TEST_F(HistoryReaderTest, ATopicWithoutRecordsIsReadAtOnce)
{
  Start();
  EXPECT_FALSE(reader_->Complete());
  EXPECT_TRUE(Completes());
  EXPECT_TRUE(values_.empty());
}

TEST_F(HistoryReaderTest, ReadsWhatIsRetainedInSeveralAnswers)
{
  for (const char* value : { "0", "1", "2", "3", "4" }) {
    store_.Append("a", value);
  }
  store_.DropBefore(2);
  store_.SetMaxRecords(2);
  Start();
  EXPECT_TRUE(Completes());
  EXPECT_EQ(values_, (std::vector<std::string>{ "2", "3", "4" }));
}

TEST_F(HistoryReaderTest, RepeatsAReadThatASilentStoreDidNotAnswer)
{
  store_.Append("a", "0");
  store_.SetSilent(true);
  Start();
  loop_.run_for(Millis(200));
  store_.SetSilent(false);
  EXPECT_TRUE(Completes());
  EXPECT_EQ(values_.size(), 1U);
}

} // namespace
} // namespace cornelfront::platform
