#include "platform/batch_writer.h"

#include <utility>

namespace cornelfront::platform {
namespace {

constexpr size_t kMaxBatchRecords = 400;
constexpr size_t kMaxBatchBytes = 1U << 20;

} // namespace

BatchWriter::BatchWriter(asio::io_context& aLoop,
                         StoreClient& aStore,
                         BatchWriterOptions aOptions)
  : store_(aStore)
  , options_(std::move(aOptions))
  , timer_(aLoop)
  , sequence_(options_.firstSequence_)
{
}

BatchWriter::~BatchWriter()
{
  *alive_ = false;
}

void
BatchWriter::Write(std::vector<KeyedRecord> aRecords, Done aDone)
{
  queue_.push_back({ std::move(aRecords), std::move(aDone) });
  if (!inFlight_) {
    Flush();
  }
}

void
BatchWriter::Flush()
{
  size_t bytes = 0;
  while (!queue_.empty() && records_.size() < kMaxBatchRecords &&
         bytes < kMaxBatchBytes) {
    PendingWrite item = std::move(queue_.front());
    queue_.pop_front();
    for (const KeyedRecord& record : item.records_) {
      bytes += record.key_.size() + record.value_.size();
      records_.push_back(record);
    }
    batch_.push_back(std::move(item));
  }
  if (!batch_.empty()) {
    inFlight_ = true;
    uncertain_ = false;
    batchStart_ = BootNow();
    Send();
  }
}

void
BatchWriter::Send()
{
  attemptStart_ = BootNow();
  if (!uncertain_) {
    applicableStart_ = attemptStart_;
  }
  const ProducerStamp stamp{ .producer_ = options_.producer_ + "-" +
                                          std::to_string(producerGeneration_),
                             .epoch_ = options_.epoch_,
                             .sequence_ = sequence_ };
  store_.Append(options_.topic_,
                records_,
                options_.retryUntilApplied_
                  ? ProducerStamp{ options_.producer_, stamp.epoch_, sequence_ }
                  : stamp,
                [this, alive = alive_](StoreOutcome aOutcome) {
                  if (*alive) {
                    OnAnswer(aOutcome);
                  }
                });
}

void
BatchWriter::OnAnswer(StoreOutcome aOutcome)
{
  const bool fenced = aOutcome == StoreOutcome::Fenced;
  if (aOutcome == StoreOutcome::Ok || (fenced && options_.retryUntilApplied_)) {
    Finish(aOutcome);
    return;
  }
  uncertain_ |= aOutcome == StoreOutcome::Unknown;
  const bool inTime = BootNow() - batchStart_ < options_.unknownRetryLimit_;
  if (!fenced && (options_.retryUntilApplied_ || (uncertain_ && inTime))) {
    RetryLater();
    return;
  }
  if (fenced || uncertain_) {
    // An append without a response may still be applied under its sequence
    // number, and a fenced producer id is rejected forever. Continue under a
    // new producer id.
    ++producerGeneration_;
    sequence_ = options_.firstSequence_;
  }
  Finish(uncertain_ ? StoreOutcome::Unknown : StoreOutcome::NotApplied);
}

void
BatchWriter::RetryLater()
{
  timer_.expires_after(backoff_.OnFailure(attemptStart_, BootNow()));
  timer_.async_wait([this, alive = alive_](const asio::error_code& aError) {
    if (*alive && !aError) {
      Send();
    }
  });
}

void
BatchWriter::Finish(StoreOutcome aOutcome)
{
  backoff_.Reset();
  if (aOutcome == StoreOutcome::Ok) {
    ++sequence_;
  }
  records_.clear();
  const std::vector<PendingWrite> done = std::exchange(batch_, {});
  inFlight_ = false;
  const MonoTime start = applicableStart_;
  const auto alive = alive_;
  for (const PendingWrite& item : done) {
    if (*alive) {
      item.done_(aOutcome, start);
    }
  }
  if (*alive && !inFlight_) {
    Flush();
  }
}

} // namespace cornelfront::platform
