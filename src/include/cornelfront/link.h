#pragma once

/// \file
/// Persistent connections between cornelfront processes.

#include "cornelfront/clock.h"
#include "cornelfront/events.h"
#include "cornelfront/messages.h"
#include "cornelfront/settings.h"

#include <asio.hpp>

#include <array>
#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cornelfront {

/// An io_context with threads of its own.
class IoPool
{
public:
  explicit IoPool(unsigned aThreads);
  ~IoPool();
  IoPool(const IoPool&) = delete;
  IoPool& operator=(const IoPool&) = delete;

  /// Ends the threads; no handler runs afterwards. Objects that use the
  /// context may be destroyed between this and the destructor.
  void Stop();

  asio::io_context& Context() { return context_; }

private:
  asio::io_context context_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::vector<std::thread> threads_;
};

class Link;
using LinkPtr = std::shared_ptr<Link>;

enum class LinkEnd
{
  /// This side called Close.
  Closed,
  /// The other side closed, or the network reported an error.
  Lost,
  /// Nothing arrived within the silence bound.
  Silent,
  /// A frame was malformed, oversized, repeated or out of order.
  BadFrame,
};

/// The event that records such an end.
EventId
EventFor(LinkEnd aEnd);

/// What a link needs from the process that owns it. All calls come from the
/// link's strand, one at a time, except Evidence.
struct LinkHandlers
{
  std::function<void(const LinkPtr&, Envelope&)> onMessage_;
  /// Called once; no onMessage_ follows.
  std::function<void(const LinkPtr&, LinkEnd, const std::string& aDetail)>
    onEnd_;
  /// Evidence to put on an outgoing message; any thread.
  std::function<ConfigEvidence(MonoTime aNow)> evidence_;
  /// Hybrid clock stamp for an outgoing message; any thread.
  std::function<uint64_t(WallTime aNow)> hybridStamp_;
  /// Counts a message of this size; any thread.
  std::function<void(const Message&, size_t aBytes, bool aSent)> onTraffic_;
};

/// One connection. Frames carry consecutive sequence numbers, so a repeated
/// or reordered frame ends the link instead of being acted upon.
class Link : public std::enable_shared_from_this<Link>
{
public:
  Link(asio::ip::tcp::socket aSocket,
       LinkSettings aSettings,
       std::shared_ptr<const LinkHandlers> aHandlers);

  /// Begins to read; call once.
  void Start();

  /// Queues a message. Returns false if the link has ended, in which case no
  /// byte of the message was or will be written. Thread-safe.
  bool Send(Message aMessage);

  /// Ends the link after what is queued was written. Thread-safe.
  void Close();

  /// Number unique in this process.
  uint64_t Serial() const { return serial_; }

private:
  using Clock = MonoClock;

  void ReadLength();
  void ReadPayload(size_t aBytes);
  void OnPayload();
  void WriteQueued();
  void OnWritten(const asio::error_code& aError);
  void CheckTimers();
  void End(LinkEnd aEnd, const std::string& aDetail);
  std::string Frame(Message&& aMessage, MonoTime aNow);

  const uint64_t serial_;
  asio::strand<asio::any_io_executor> strand_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  const LinkSettings settings_;
  const std::shared_ptr<const LinkHandlers> handlers_;

  // Used on the strand only.
  uint64_t receivedSequence_ = 0;
  std::array<unsigned char, 4> lengthBytes_{};
  std::string payload_;
  std::vector<std::string> writing_;

  std::mutex mutex_;
  uint64_t sentSequence_ = 0;
  std::deque<std::string> queue_;
  bool writeScheduled_ = false;
  bool closing_ = false;
  bool ended_ = false;
  int64_t newestStamp_ = 0;
  MonoTime lastSent_;
  MonoTime lastReceived_;
};

/// Accepts links until destroyed.
class LinkServer
{
public:
  using OnAccept = std::function<void(asio::ip::tcp::socket)>;

  /// \throws std::runtime_error if the endpoint cannot be bound
  LinkServer(IoPool& aPool, const Endpoint& aEndpoint, OnAccept aOnAccept);
  ~LinkServer();

  uint16_t Port() const { return port_; }

private:
  struct State;
  static void Accept(const std::shared_ptr<State>& aState);

  std::shared_ptr<State> state_;
  uint16_t port_;
};

/// Keeps one link to each of a set of endpoints, dialling again whenever one
/// ends. Thread-safe.
class Dialer
{
public:
  using OnConnect = std::function<LinkPtr(asio::ip::tcp::socket)>;

  /// \p aOnConnect makes and starts the link for a new connection.
  Dialer(IoPool& aPool, LinkSettings aSettings, OnConnect aOnConnect);
  ~Dialer();

  /// Adds an endpoint; does nothing if it is already there. An endpoint that
  /// is not \p aPermanent is forgotten after it failed for a while.
  void Add(const Endpoint& aEndpoint, bool aPermanent);

  /// Stops dialling the endpoint of this link, because another endpoint leads
  /// to the same process, until any link ends.
  void Park(const LinkPtr& aLink);

  /// Tells that a link made by aOnConnect has ended.
  void OnLinkEnd(const LinkPtr& aLink);

private:
  struct State;
  std::shared_ptr<State> state_;
};

} // namespace cornelfront
