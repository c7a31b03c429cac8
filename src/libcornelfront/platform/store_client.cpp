#include "platform/store_client.h"

#include "cornelfront/codec.h"
#include "platform/answer_status_pvt.h"
#include "platform/json_fields_pvt.h"

#include <glog/logging.h>

#include <utility>

namespace cornelfront::platform {
namespace {

using nlohmann::json;

constexpr size_t kLengthBytes = 4;
constexpr size_t kOffsetBytes = 8;
constexpr size_t kMaxKeyBytes = 255;

/// Timeout of an append.
constexpr Millis kAppendTimeout{ 1500 };
constexpr Millis kConnectTimeout{ 700 };
/// Longest transfer of a response of which bytes keep arriving.
constexpr Millis kTransferTimeout{ 10000 };

constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;
constexpr int kStatusGone = 410;

uint64_t
TakeBigEndian(std::string_view& aBytes, size_t aSize)
{
  if (aBytes.size() < aSize) {
    throw WireFormatError(
      "truncated records: " + std::to_string(aBytes.size()) + " bytes left, " +
      std::to_string(aSize) + " needed");
  }
  uint64_t number = 0;
  for (size_t i = 0; i < aSize; ++i) {
    number = (number << 8U) | static_cast<unsigned char>(aBytes[i]);
  }
  aBytes.remove_prefix(aSize);
  return number;
}

void
AppendBigEndian(std::string& aTarget, uint64_t aNumber, size_t aSize)
{
  for (size_t i = aSize; i > 0; --i) {
    aTarget.push_back(static_cast<char>(aNumber >> (8U * (i - 1))));
  }
}

KeyedRecord
DecodeRecord(std::string_view aContent)
{
  const size_t keyBytes = TakeBigEndian(aContent, 1);
  if (keyBytes > aContent.size()) {
    throw WireFormatError(
      "key of " + std::to_string(keyBytes) + " bytes exceeds the " +
      std::to_string(aContent.size()) + " bytes left in its record");
  }
  return { .key_ = std::string(aContent.substr(0, keyBytes)),
           .value_ = std::string(aContent.substr(keyBytes)) };
}

/// Decodes the response to a read: the end of the partition, its first retained
/// offset, then the records from the requested offset. Invalid records are
/// logged and skipped.
void
DecodeRead(std::string_view aBody, uint64_t aFrom, StoreRead& aRead)
{
  aRead.end_ = TakeBigEndian(aBody, kOffsetBytes);
  TakeBigEndian(aBody, kOffsetBytes);
  aRead.next_ = aFrom;
  while (!aBody.empty()) {
    const size_t length = TakeBigEndian(aBody, kLengthBytes);
    if (length > aBody.size()) {
      throw WireFormatError(
        "record of " + std::to_string(length) + " bytes exceeds the " +
        std::to_string(aBody.size()) + " bytes left in the response");
    }
    ++aRead.next_;
    try {
      aRead.records_.push_back(DecodeRecord(aBody.substr(0, length)));
    } catch (const WireFormatError& error) {
      LOG(WARNING) << "record " << aRead.next_ - 1
                   << " ignored: " << error.what();
    }
    aBody.remove_prefix(length);
  }
}

/// Returns the offset in the response to a read of records that were dropped; 0
/// if it names none.
uint64_t
FirstRetained(std::string_view aBody)
{
  try {
    return static_cast<uint64_t>(IntegerField(ParseObject(aBody), "first", 0));
  } catch (const WireFormatError&) {
    return 0;
  }
}

void
DecodePage(std::string_view aBody, StorePage& aPage)
{
  const json body = ParseObject(aBody);
  for (const json& item : ListField(body, "items")) {
    auto value = DecodeBase64(TextField(item, "value"));
    if (!value) {
      LOG(WARNING) << "record ignored: value is not valid base64";
      continue;
    }
    aPage.records_.push_back(
      { .key_ = TextField(item, "key"), .value_ = std::move(*value) });
  }
  aPage.hasMore_ = BoolField(body, "hasMore");
  aPage.end_ = static_cast<uint64_t>(IntegerField(body, "end", 0));
}

StoreOutcome
OutcomeOf(const HttpResult& aResult)
{
  switch (aResult.failure_) {
    case HttpFailure::NotSent:
      return StoreOutcome::NotApplied;
    case HttpFailure::MayHaveBeenSent:
      return StoreOutcome::Unknown;
    case HttpFailure::None:
      break;
  }
  if (aResult.response_.status_ == kStatusOk) {
    return StoreOutcome::Ok;
  }
  if (aResult.response_.status_ == kStatusConflict) {
    return StoreOutcome::Fenced;
  }
  if (aResult.response_.status_ == kStatusGone) {
    return StoreOutcome::Gone;
  }
  return IsCertainlyNotApplied(aResult.response_.status_)
           ? StoreOutcome::NotApplied
           : StoreOutcome::Unknown;
}

std::string
Reason(const HttpResult& aResult)
{
  return aResult.failure_ == HttpFailure::None
           ? "status " + std::to_string(aResult.response_.status_)
           : aResult.error_;
}

/// Logs a read that was not answered with records. \p aStart is the time at
/// which it began.
void
LogFailedRead(const std::string& aTopic,
              std::string_view aCall,
              const HttpResult& aResult,
              MonoTime aStart,
              MonoTime aNow)
{
  LOG(INFO) << "store topic=" << aTopic << " call=" << aCall << " ms="
            << std::chrono::duration_cast<Millis>(aNow - aStart).count()
            << " bytes=" << aResult.receivedBytes_
            << " new_connection=" << aResult.openedConnection_
            << " issued=" << aResult.issued_ << " reason=\"" << Reason(aResult)
            << "\" outcome=read_failed";
}

/// Percent-encodes a value for a URL query.
std::string
QueryText(std::string_view aText)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : aText) {
    if (std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
        c == '.' || c == '_') {
      encoded.push_back(c);
    } else {
      const auto byte = static_cast<unsigned char>(c);
      encoded.push_back('%');
      encoded.push_back(kDigits[byte >> 4U]);
      encoded.push_back(kDigits[byte & 15U]);
    }
  }
  return encoded;
}

} // namespace

std::string
EncodeRecord(const KeyedRecord& aRecord)
{
  if (aRecord.key_.size() > kMaxKeyBytes) {
    throw std::invalid_argument(
      "key of " + std::to_string(aRecord.key_.size()) +
      " bytes exceeds the limit of " + std::to_string(kMaxKeyBytes));
  }
  std::string bytes;
  AppendBigEndian(
    bytes, 1 + aRecord.key_.size() + aRecord.value_.size(), kLengthBytes);
  AppendBigEndian(bytes, aRecord.key_.size(), 1);
  return bytes + aRecord.key_ + aRecord.value_;
}

StoreClient::StoreClient(asio::io_context& aLoop, const Endpoint& aStore)
  : loop_(aLoop)
  , base_("http://" + aStore.host_ + ":" + std::to_string(aStore.port_))
  , pool_(std::make_shared<AsyncHttpClient>(aLoop, AsyncHttpClientOptions{}))
{
}

void
StoreClient::Send(HttpClientRequest aRequest,
                  ProgressLimits aLimits,
                  AsyncHttpClient::Callback aDone)
{
  CloseRetiredPools();
  pool_->Send(
    std::move(aRequest),
    aLimits,
    [this, pool = pool_.get(), done = std::move(aDone)](HttpResult aResult) {
      const bool answered =
        aResult.failure_ == HttpFailure::None || aResult.receivedBytes_ > 0;
      if (!answered && pool == pool_.get()) {
        ReplacePool();
      }
      done(std::move(aResult));
    });
}

void
StoreClient::ReplacePool()
{
  retiredPools_.push_back(std::move(pool_));
  pool_ = std::make_shared<AsyncHttpClient>(loop_, AsyncHttpClientOptions{});
}

void
StoreClient::CloseRetiredPools()
{
  for (Pool& pool : retiredPools_) {
    if (pool->Idle()) {
      // This may run in a callback of that pool.
      asio::post(loop_, [closed = std::move(pool)] {});
    }
  }
  std::erase(retiredPools_, nullptr);
}

std::string
StoreClient::Url(std::string_view aCall, const std::string& aTopic) const
{
  return base_ + std::string(aCall) + "?topic=" + aTopic + "&part=0";
}

void
StoreClient::Append(const std::string& aTopic,
                    const std::vector<KeyedRecord>& aRecords,
                    const std::optional<ProducerStamp>& aStamp,
                    std::function<void(StoreOutcome)> aDone)
{
  HttpClientRequest request{ .method_ = "POST",
                             .url_ = Url("/log-append", aTopic),
                             .connectTimeout_ = kConnectTimeout,
                             .timeout_ = kAppendTimeout };
  if (aStamp) {
    request.url_ += "&producer=" + QueryText(aStamp->producer_) +
                    "&epoch=" + std::to_string(aStamp->epoch_) +
                    "&seq=" + std::to_string(aStamp->sequence_);
  }
  request.headers_.emplace_back("Content-Type", "application/octet-stream");
  for (const KeyedRecord& record : aRecords) {
    request.body_ += EncodeRecord(record);
  }
  Send(std::move(request),
       { .firstByte_ = kAppendTimeout, .nextByte_ = kAppendTimeout },
       [aTopic, done = std::move(aDone)](const HttpResult& aResult) {
         const StoreOutcome outcome = OutcomeOf(aResult);
         if (outcome != StoreOutcome::Ok) {
           LOG(WARNING) << "append to " << aTopic
                        << " failed: " << Reason(aResult)
                        << " issued=" << aResult.issued_;
         }
         done(outcome);
       });
}

void
StoreClient::Read(const std::string& aTopic,
                  uint64_t aFrom,
                  ReadAttempt aAttempt,
                  std::function<void(StoreRead)> aDone)
{
  HttpClientRequest request{
    .url_ = Url("/log-read", aTopic) + "&from=" + std::to_string(aFrom) +
            "&waitMs=" + std::to_string(aAttempt.wait_.count()),
    .connectTimeout_ = kConnectTimeout,
    .timeout_ = kTransferTimeout
  };
  Send(std::move(request),
       aAttempt.limits_,
       [aTopic, aFrom, start = BootNow(), done = std::move(aDone)](
         const HttpResult& aResult) {
         StoreRead read{ .outcome_ = OutcomeOf(aResult), .next_ = aFrom };
         if (read.outcome_ != StoreOutcome::Ok) {
           LogFailedRead(aTopic, "tail", aResult, start, BootNow());
         }
         try {
           if (read.outcome_ == StoreOutcome::Ok) {
             DecodeRead(aResult.response_.body_, aFrom, read);
           } else if (read.outcome_ == StoreOutcome::Gone) {
             read.first_ = FirstRetained(aResult.response_.body_);
           }
         } catch (const WireFormatError& error) {
           LOG(ERROR) << "malformed response to a read of " << aTopic << ": "
                      << error.what();
           read.outcome_ = StoreOutcome::NotApplied;
         }
         done(std::move(read));
       });
}

void
StoreClient::Newest(const std::string& aTopic,
                    const std::string& aAfter,
                    ReadAttempt aAttempt,
                    std::function<void(StorePage)> aDone)
{
  HttpClientRequest request{ .url_ = Url("/log-newest", aTopic),
                             .connectTimeout_ = kConnectTimeout,
                             .timeout_ = kTransferTimeout };
  if (!aAfter.empty()) {
    request.url_ += "&after=" + QueryText(aAfter);
  }
  Send(std::move(request),
       aAttempt.limits_,
       [aTopic, start = BootNow(), done = std::move(aDone)](
         const HttpResult& aResult) {
         StorePage page{ .outcome_ = OutcomeOf(aResult) };
         try {
           if (page.outcome_ == StoreOutcome::Ok) {
             DecodePage(aResult.response_.body_, page);
           } else {
             LogFailedRead(aTopic, "newest", aResult, start, BootNow());
           }
         } catch (const WireFormatError& error) {
           LOG(ERROR) << "malformed response with the newest records of "
                      << aTopic << ": " << error.what();
           page.outcome_ = StoreOutcome::NotApplied;
         }
         done(std::move(page));
       });
}

} // namespace cornelfront::platform
