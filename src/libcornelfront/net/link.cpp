#include "cornelfront/link.h"

#include <netinet/tcp.h>

#include <array>

namespace cornelfront {

namespace {

constexpr size_t kLengthBytes = 4;

uint64_t
NextSerial()
{
  static std::atomic<uint64_t> sNext{ 1 };
  return sNext.fetch_add(1);
}

int64_t
ToStamp(MonoTime aTime)
{
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
           aTime.time_since_epoch())
    .count();
}

std::array<unsigned char, kLengthBytes>
EncodeLength(size_t aLength)
{
  return { static_cast<unsigned char>(aLength >> 24U),
           static_cast<unsigned char>(aLength >> 16U),
           static_cast<unsigned char>(aLength >> 8U),
           static_cast<unsigned char>(aLength) };
}

size_t
DecodeLength(const std::array<unsigned char, kLengthBytes>& aBytes)
{
  size_t length = 0;
  for (const unsigned char byte : aBytes) {
    length = (length << 8U) | byte;
  }
  return length;
}

void
SetSocketOptions(asio::ip::tcp::socket& aSocket, Millis aSilenceBound)
{
  asio::error_code ignored;
  aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const auto timeout = static_cast<unsigned>(aSilenceBound.count());
  setsockopt(aSocket.native_handle(),
             IPPROTO_TCP,
             TCP_USER_TIMEOUT,
             &timeout,
             sizeof(timeout));
}

} // namespace

EventId
EventOfLinkEnd(LinkEndReason aEnd)
{
  switch (aEnd) {
    case LinkEndReason::Silent:
      return EventId::LinkSilent;
    case LinkEndReason::BadFrame:
      return EventId::BadFrame;
    default:
      return EventId::LinkDown;
  }
}

IoPool::IoPool(unsigned aThreads)
  : work_(asio::make_work_guard(context_))
{
  for (unsigned i = 0; i < aThreads; ++i) {
    threads_.emplace_back([this] { context_.run(); });
  }
}

IoPool::~IoPool()
{
  Stop();
}

void
IoPool::Stop()
{
  context_.stop();
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

Link::Link(asio::ip::tcp::socket aSocket,
           LinkSettings aSettings,
           std::shared_ptr<const LinkHandlers> aHandlers)
  : serial_(NextSerial())
  , strand_(asio::make_strand(aSocket.get_executor()))
  , socket_(std::move(aSocket))
  , timer_(strand_)
  , settings_(aSettings)
  , handlers_(std::move(aHandlers))
  , lastSent_(MonoClock::now())
  , lastReceived_(lastSent_)
{
  SetSocketOptions(socket_, settings_.silenceBound_);
}

void
Link::Start()
{
  asio::dispatch(strand_, [self = shared_from_this()] {
    self->ReadLength();
    self->CheckTimers();
  });
}

bool
Link::Send(Message aMessage)
{
  std::lock_guard lock(mutex_);
  if (ended_ || closing_) {
    return false;
  }
  lastSent_ = MonoClock::now();
  queue_.push_back(Frame(std::move(aMessage), lastSent_));
  if (!writeScheduled_) {
    writeScheduled_ = true;
    asio::post(strand_, [self = shared_from_this()] { self->WriteQueued(); });
  }
  return true;
}

void
Link::Close()
{
  std::lock_guard lock(mutex_);
  closing_ = true;
  if (!writeScheduled_) {
    writeScheduled_ = true;
    asio::post(strand_, [self = shared_from_this()] { self->WriteQueued(); });
  }
}

std::string
Link::Frame(Message&& aMessage, MonoTime aNow)
{
  Envelope envelope;
  envelope.sequence_ = ++sentSequence_;
  envelope.hybridStamp_ = handlers_->hybridStamp_(WallClock::now());
  envelope.stamp_ = ToStamp(handlers_->stampClock_());
  envelope.echo_ = newestStamp_;
  envelope.evidence_ = handlers_->evidence_(aNow);
  envelope.message_ = std::move(aMessage);
  const std::string payload = Encode(envelope);
  handlers_->onTraffic_(envelope.message_, payload.size() + kLengthBytes, true);
  const auto length = EncodeLength(payload.size());
  std::string frame;
  frame.reserve(payload.size() + kLengthBytes);
  frame.append(length.begin(), length.end());
  frame.append(payload);
  return frame;
}

void
Link::ReadLength()
{
  asio::async_read(
    socket_,
    asio::buffer(lengthBytes_),
    asio::bind_executor(
      strand_,
      [self = shared_from_this()](const asio::error_code& aError, size_t) {
        if (aError) {
          self->End(LinkEndReason::Lost, aError.message());
          return;
        }
        self->ReadPayload(DecodeLength(self->lengthBytes_));
      }));
}

void
Link::ReadPayload(size_t aBytes)
{
  if (aBytes == 0 || aBytes > kMaxFrameBytes) {
    End(LinkEndReason::BadFrame,
        "frame of " + std::to_string(aBytes) + " bytes, limit " +
          std::to_string(kMaxFrameBytes));
    return;
  }
  payload_.clear();
  // The buffer grows with the received data, not with the claimed length.
  asio::async_read(
    socket_,
    asio::dynamic_buffer(payload_, aBytes),
    asio::transfer_exactly(aBytes),
    asio::bind_executor(
      strand_,
      [self = shared_from_this()](const asio::error_code& aError, size_t) {
        if (aError) {
          self->End(LinkEndReason::Lost, aError.message());
          return;
        }
        self->OnPayload();
      }));
}

void
Link::OnPayload()
{
  Envelope envelope;
  try {
    envelope = Decode(payload_);
  } catch (const DecodeError& error) {
    End(LinkEndReason::BadFrame, error.what());
    return;
  }
  if (envelope.sequence_ != receivedSequence_ + 1) {
    End(LinkEndReason::BadFrame,
        "sequence " + std::to_string(envelope.sequence_) + " after " +
          std::to_string(receivedSequence_));
    return;
  }
  receivedSequence_ = envelope.sequence_;
  {
    std::lock_guard lock(mutex_);
    if (ended_) {
      return;
    }
    newestStamp_ = envelope.stamp_;
    lastReceived_ = MonoClock::now();
  }
  handlers_->onTraffic_(
    envelope.message_, payload_.size() + kLengthBytes, false);
  handlers_->onMessage_(shared_from_this(), envelope);
  ReadLength();
}

void
Link::WriteQueued()
{
  std::vector<asio::const_buffer> buffers;
  {
    std::lock_guard lock(mutex_);
    if (ended_) {
      return;
    }
    writing_.assign(std::make_move_iterator(queue_.begin()),
                    std::make_move_iterator(queue_.end()));
    queue_.clear();
    if (writing_.empty()) {
      writeScheduled_ = false;
    }
  }
  if (writing_.empty()) {
    // The queue is empty here only after a call of Close.
    End(LinkEndReason::Closed, "closed by this side");
    return;
  }
  for (const std::string& frame : writing_) {
    buffers.push_back(asio::buffer(frame));
  }
  asio::async_write(
    socket_,
    buffers,
    asio::bind_executor(
      strand_,
      [self = shared_from_this()](const asio::error_code& aError, size_t) {
        self->OnWritten(aError);
      }));
}

void
Link::OnWritten(const asio::error_code& aError)
{
  if (aError) {
    End(LinkEndReason::Lost, aError.message());
    return;
  }
  {
    std::lock_guard lock(mutex_);
    if (queue_.empty() && !closing_) {
      writeScheduled_ = false;
      return;
    }
  }
  WriteQueued();
}

void
Link::CheckTimers()
{
  const MonoTime now = MonoClock::now();
  bool silent = false;
  bool keepAliveDue = false;
  {
    std::lock_guard lock(mutex_);
    if (ended_) {
      return;
    }
    silent = now - lastReceived_ >= settings_.silenceBound_;
    keepAliveDue = now - lastSent_ >= settings_.pulseInterval_;
  }
  if (silent) {
    End(LinkEndReason::Silent,
        "nothing received for " +
          std::to_string(settings_.silenceBound_.count()) + " ms");
    return;
  }
  if (keepAliveDue) {
    Send(KeepAlive{});
  }
  timer_.expires_after(settings_.pulseInterval_ / 4);
  timer_.async_wait(
    [self = shared_from_this()](const asio::error_code& aError) {
      if (!aError) {
        self->CheckTimers();
      }
    });
}

void
Link::End(LinkEndReason aEnd, const std::string& aDetail)
{
  {
    std::lock_guard lock(mutex_);
    if (ended_) {
      return;
    }
    ended_ = true;
    queue_.clear();
  }
  asio::error_code ignored;
  timer_.cancel();
  socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  handlers_->onEnd_(shared_from_this(), aEnd, aDetail);
}

} // namespace cornelfront
