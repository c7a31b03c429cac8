#pragma once

/// \file
/// Persistent message connections between cornelfront processes.

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

/// An io_context run by its own threads.
class IoPool
{
public:
  explicit IoPool(unsigned aThreads);
  ~IoPool();
  IoPool(const IoPool&) = delete;
  IoPool& operator=(const IoPool&) = delete;

  /// Stops and joins the threads; no handler runs afterwards. Objects that use
  /// the context may be destroyed between this call and the destructor.
  void Stop();

  asio::io_context& Context() { return context_; }

private:
  asio::io_context context_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::vector<std::thread> threads_;
};

class Link;
using LinkPtr = std::shared_ptr<Link>;

/// Why a link ended.
enum class LinkEndReason
{
  /// This side called Close.
  Closed,
  /// The other side closed, or the network reported an error.
  Lost,
  /// Nothing was received within the silence bound.
  Silent,
  /// A frame was malformed, too large, repeated or out of order.
  BadFrame,
};

/// Returns the event that records a link end of this kind.
EventId
EventOfLinkEnd(LinkEndReason aEnd);

/// Callbacks of a link into the process that owns it. onMessage_ and onEnd_ are
/// called on the link's strand, one at a time; the others from any thread.
struct LinkHandlers
{
  std::function<void(const LinkPtr&, Envelope&)> onMessage_;
  /// Called once; onMessage_ is not called afterwards.
  std::function<void(const LinkPtr&, LinkEndReason, const std::string& aDetail)>
    onEnd_;
  /// Returns the config evidence to attach to an outgoing message.
  std::function<ConfigEvidence(MonoTime aNow)> evidence_;
  /// Returns the hybrid clock stamp of an outgoing message.
  std::function<uint64_t(WallTime aNow)> hybridStamp_;
  /// Clock of the stamps of outgoing messages. Their echoes may be compared
  /// only with times of the same clock.
  MonoTime (*stampClock_)() = &MonoClock::now;
  /// Called for each message sent or received, with its size on the wire.
  std::function<void(const Message&, size_t aBytes, bool aSent)> onTraffic_;
};

/// One connection. Frames carry consecutive sequence numbers; a repeated or
/// reordered frame ends the link and is not processed.
class Link : public std::enable_shared_from_this<Link>
{
public:
  Link(asio::ip::tcp::socket aSocket,
       LinkSettings aSettings,
       std::shared_ptr<const LinkHandlers> aHandlers);

  /// Starts reading and the keep-alive timer; must be called once.
  void Start();

  /// Queues a message. Returns false if the link has ended or is closing, in
  /// which case no byte of the message is ever written. Thread-safe.
  bool Send(Message aMessage);

  /// Ends the link once all queued messages are written. Thread-safe.
  void Close();

  /// Returns a number that is unique within this process.
  uint64_t Serial() const { return serial_; }

private:
  using Clock = MonoClock;

  void ReadLength();
  void ReadPayload(size_t aBytes);
  void OnPayload();
  void WriteQueued();
  void OnWritten(const asio::error_code& aError);
  void CheckTimers();
  void End(LinkEndReason aEnd, const std::string& aDetail);
  std::string Frame(Message&& aMessage, MonoTime aNow);

  const uint64_t serial_;
  asio::strand<asio::any_io_executor> strand_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  const LinkSettings settings_;
  const std::shared_ptr<const LinkHandlers> handlers_;

  // Accessed only on the strand.
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

/// Listens on an endpoint and accepts connections until destroyed.
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

/// Keeps one link to each of a set of endpoints and reconnects when a link
/// ends. Thread-safe.
class LinkConnector
{
public:
  using OnConnect = std::function<LinkPtr(asio::ip::tcp::socket)>;

  /// \p aOnConnect creates and starts the link for a new connection.
  LinkConnector(IoPool& aPool, LinkSettings aSettings, OnConnect aOnConnect);
  ~LinkConnector();

  /// Adds an endpoint; does nothing if it is already known. An endpoint that is
  /// not \p aPermanent is removed after repeated connection failures.
  void Add(const Endpoint& aEndpoint, bool aPermanent);

  /// Pauses reconnecting to the endpoint of this link until any link ends,
  /// because another endpoint already leads to the same process.
  void Pause(const LinkPtr& aLink);

  /// Must be called when a link created by aOnConnect has ended.
  void OnLinkEnd(const LinkPtr& aLink);

private:
  struct State;
  std::shared_ptr<State> state_;
};

} // namespace cornelfront
