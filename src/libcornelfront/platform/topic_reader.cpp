#include "platform/topic_reader.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace cornelfront::platform {
namespace {

/// Limit on the first byte of an answer, beyond the wait of the read.
constexpr Millis kAnswerLimit{ 600 };
/// The same after an attempt without an answer, and for pages, which a store
/// that serves many starting processes may answer later. A change is read
/// within this time after a silent store answers again, since the next attempt
/// begins at once.
constexpr Millis kLongAnswerLimit{ 1200 };
/// Limit between two bytes of an answer.
constexpr Millis kStallLimit{ 1000 };

/// Returns the next attempt to read records that follow the known ones. It does
/// not wait for new ones after an attempt without an answer, so that an answer
/// comes soon if the store gives any.
ReadAttempt
TailAttempt(Millis aWait, bool aUnanswered)
{
  const Millis wait = aUnanswered ? Millis(0) : aWait;
  const Millis limit = aUnanswered ? kLongAnswerLimit : kAnswerLimit;
  return { .wait_ = wait,
           .limits_ = { .firstByte_ = wait + limit,
                        .nextByte_ = kStallLimit } };
}

ReadAttempt
PageAttempt()
{
  return { .limits_ = { .firstByte_ = kLongAnswerLimit,
                        .nextByte_ = kStallLimit } };
}

} // namespace

TopicReader::TopicReader(asio::io_context& aLoop,
                         StoreClient& aStore,
                         Options aOptions)
  : timer_(aLoop)
  , store_(aStore)
  , options_(std::move(aOptions))
{
  Restart();
}

TopicReader::~TopicReader()
{
  *alive_ = false;
}

void
TopicReader::ReadPage(const std::string& aAfter)
{
  readStart_ = BootNow();
  if (aAfter.empty()) {
    firstPageStart_ = readStart_;
  }
  store_.Newest(options_.topic_,
                aAfter,
                PageAttempt(),
                [this, alive = alive_, aAfter](const StorePage& aPage) {
                  if (*alive) {
                    OnPage(aAfter, aPage);
                  }
                });
}

void
TopicReader::OnPage(const std::string& aAfter, const StorePage& aPage)
{
  if (aPage.outcome_ != StoreOutcome::Ok) {
    NoteReachable(false);
    Retry(&TopicReader::Restart);
    return;
  }
  NoteReachable(true);
  if (aAfter.empty()) {
    // The pages are not a consistent snapshot. Reading continues from the end
    // as of the first page, so changes made during paging are read again.
    pagedRecords_.clear();
    next_ = aPage.end_;
  }
  for (const KeyedRecord& record : aPage.records_) {
    pagedRecords_[record.key_] = record.value_;
  }
  if (aPage.hasMore_ && !aPage.records_.empty()) {
    ReadPage(aPage.records_.back().key_);
    return;
  }
  std::vector<KeyedRecord> changes;
  for (const auto& [key, value] : records_) {
    if (!pagedRecords_.contains(key)) {
      changes.push_back({ .key_ = key });
    }
  }
  for (const auto& [key, value] : pagedRecords_) {
    const auto known = records_.find(key);
    if (known == records_.end() || known->second != value) {
      changes.push_back({ key, value });
    }
  }
  const bool first = !complete_;
  records_ = std::exchange(pagedRecords_, {});
  complete_ = true;
  lastReadStart_ = firstPageStart_;
  if (first || !changes.empty()) {
    Publish(changes);
  }
  Tail();
}

void
TopicReader::Publish(const std::vector<KeyedRecord>& aChanges)
{
  if (options_.onRecords_) {
    options_.onRecords_(aChanges);
  }
  if (options_.onChange_) {
    options_.onChange_(records_);
  }
}

void
TopicReader::Tail()
{
  readStart_ = BootNow();
  store_.Read(options_.topic_,
              next_,
              TailAttempt(options_.wait_, unanswered_),
              [this, alive = alive_](const StoreRead& aRead) {
                if (*alive) {
                  OnTail(aRead);
                }
              });
}

void
TopicReader::OnTail(const StoreRead& aRead)
{
  if (aRead.outcome_ == StoreOutcome::Gone) {
    Restart();
    return;
  }
  if (aRead.outcome_ != StoreOutcome::Ok) {
    unanswered_ = aRead.outcome_ == StoreOutcome::Unknown;
    NoteReachable(false);
    Retry(&TopicReader::Tail);
    return;
  }
  unanswered_ = false;
  NoteReachable(true);
  for (const KeyedRecord& record : aRead.records_) {
    if (record.value_.empty()) {
      records_.erase(record.key_);
    } else {
      records_[record.key_] = record.value_;
    }
  }
  next_ = aRead.next_;
  if (next_ >= aRead.end_) {
    lastReadStart_ = readStart_;
  }
  if (!aRead.records_.empty()) {
    Publish(aRead.records_);
  }
  Tail();
}

void
TopicReader::Retry(void (TopicReader::*aStep)())
{
  timer_.expires_after(backoff_.OnFailure(readStart_, BootNow()));
  timer_.async_wait(
    [this, alive = alive_, aStep](const asio::error_code& aError) {
      if (*alive && !aError) {
        (this->*aStep)();
      }
    });
}

void
TopicReader::NoteReachable(bool aReachable)
{
  if (aReachable) {
    backoff_.Reset();
  }
  if (reachable_ == aReachable) {
    return;
  }
  reachable_ = aReachable;
  LOG(INFO) << "store topic=" << options_.topic_
            << (aReachable ? " reachable" : " unreachable");
  if (options_.onReachable_) {
    options_.onReachable_(aReachable);
  }
}

} // namespace cornelfront::platform
