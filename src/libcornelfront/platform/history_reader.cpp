#include "platform/history_reader.h"

namespace cornelfront::platform {
namespace {

/// Limits on the first byte of an answer, and between two of its bytes.
constexpr Millis kAnswerLimit{ 600 };
constexpr Millis kStallLimit{ 1000 };
/// Older records are skipped.
constexpr uint64_t kMaxRecords = 16384;

} // namespace

HistoryReader::HistoryReader(asio::io_context& aLoop,
                             StoreClient& aStore,
                             Options aOptions)
  : timer_(aLoop)
  , store_(aStore)
  , options_(std::move(aOptions))
{
  Read();
}

HistoryReader::~HistoryReader()
{
  *alive_ = false;
}

void
HistoryReader::Read()
{
  readStart_ = BootNow();
  store_.Read(
    options_.topic_,
    next_,
    { .limits_ = { .firstByte_ = kAnswerLimit, .nextByte_ = kStallLimit } },
    [this, alive = alive_](const StoreRead& aRead) {
      if (*alive) {
        OnRead(aRead);
      }
    });
}

void
HistoryReader::OnRead(const StoreRead& aRead)
{
  if (aRead.outcome_ == StoreOutcome::Gone && aRead.first_ > next_) {
    next_ = aRead.first_;
    Read();
    return;
  }
  if (aRead.outcome_ != StoreOutcome::Ok) {
    ReadLater();
    return;
  }
  backoff_.Reset();
  if (end_ == 0) {
    end_ = aRead.end_;
    if (end_ > next_ + kMaxRecords) {
      next_ = end_ - kMaxRecords;
      Read();
      return;
    }
  }
  const bool advanced = aRead.next_ > next_;
  next_ = aRead.next_;
  if (!aRead.records_.empty()) {
    options_.onRecords_(aRead.records_);
  }
  if (next_ < end_ && advanced) {
    Read();
    return;
  }
  if (next_ < end_) {
    ReadLater();
    return;
  }
  complete_ = true;
  options_.onComplete_();
}

void
HistoryReader::ReadLater()
{
  timer_.expires_after(backoff_.OnFailure(readStart_, BootNow()));
  timer_.async_wait([this, alive = alive_](const asio::error_code& aError) {
    if (*alive && !aError) {
      Read();
    }
  });
}

} // namespace cornelfront::platform
