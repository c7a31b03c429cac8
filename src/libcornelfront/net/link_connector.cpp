#include "cornelfront/link.h"

#include <algorithm>
#include <map>

namespace cornelfront {

namespace {

using asio::ip::tcp;

/// Consecutive connection failures after which a non-permanent endpoint is
/// removed. If its process still runs, another entry announces it again.
constexpr int kMaxConnectFailures = 100;

tcp::endpoint
Resolve(const Endpoint& aEndpoint)
{
  asio::error_code error;
  const auto address = asio::ip::make_address_v4(aEndpoint.host_, error);
  if (error) {
    throw std::runtime_error(aEndpoint.host_ + ": not an IPv4 address");
  }
  return { address, aEndpoint.port_ };
}

} // namespace

struct LinkServer::State
{
  State(asio::io_context& aContext, OnAccept aOnAccept)
    : acceptor_(aContext)
    , onAccept_(std::move(aOnAccept))
  {
  }

  tcp::acceptor acceptor_;
  OnAccept onAccept_;
  std::mutex mutex_;
  bool stopped_ = false;
};

LinkServer::LinkServer(IoPool& aPool,
                       const Endpoint& aEndpoint,
                       OnAccept aOnAccept)
  : state_(std::make_shared<State>(aPool.Context(), std::move(aOnAccept)))
{
  try {
    const tcp::endpoint endpoint = Resolve(aEndpoint);
    state_->acceptor_.open(endpoint.protocol());
    state_->acceptor_.set_option(tcp::acceptor::reuse_address(true));
    state_->acceptor_.bind(endpoint);
    state_->acceptor_.listen();
  } catch (const asio::system_error& error) {
    throw std::runtime_error("cannot listen on " + aEndpoint.host_ + ":" +
                             std::to_string(aEndpoint.port_) + ": " +
                             error.what());
  }
  port_ = state_->acceptor_.local_endpoint().port();
  Accept(state_);
}

LinkServer::~LinkServer()
{
  std::lock_guard lock(state_->mutex_);
  state_->stopped_ = true;
  asio::error_code ignored;
  state_->acceptor_.close(ignored);
}

void
LinkServer::Accept(const std::shared_ptr<State>& aState)
{
  std::lock_guard lock(aState->mutex_);
  if (aState->stopped_) {
    return;
  }
  aState->acceptor_.async_accept(
    [aState](const asio::error_code& aError, tcp::socket aSocket) {
      if (!aError) {
        aState->onAccept_(std::move(aSocket));
      }
      Accept(aState);
    });
}

struct LinkConnector::State
  : public std::enable_shared_from_this<LinkConnector::State>
{
  struct Target
  {
    bool permanent_ = false;
    int failures_ = 0;
    uint64_t linkSerial_ = 0;
    bool paused_ = false;
  };
  using Key = std::pair<std::string, uint16_t>;

  State(asio::io_context& aContext, LinkSettings aSettings, OnConnect aConnect)
    : context_(aContext)
    , settings_(aSettings)
    , onConnect_(std::move(aConnect))
  {
  }

  void Connect(const Key& aKey)
  {
    auto socket = std::make_shared<tcp::socket>(context_);
    auto timer = std::make_shared<asio::steady_timer>(context_);
    timer->expires_after(settings_.silenceBound_);
    timer->async_wait([socket](const asio::error_code& aError) {
      if (!aError) {
        asio::error_code ignored;
        socket->close(ignored);
      }
    });
    socket->async_connect(
      Resolve({ .host_ = aKey.first, .port_ = aKey.second }),
      [self = shared_from_this(), aKey, socket, timer](
        const asio::error_code& aError) {
        timer->cancel();
        if (aError || !socket->is_open()) {
          self->OnFailure(aKey);
          return;
        }
        self->OnConnected(aKey, std::move(*socket));
      });
  }

  void OnConnected(const Key& aKey, tcp::socket aSocket)
  {
    // Holding the lock while the link is created ensures that OnLinkEnd for
    // this link runs after linkSerial_ is set.
    std::lock_guard lock(mutex_);
    const auto found = targets_.find(aKey);
    if (stopped_ || found == targets_.end()) {
      return;
    }
    found->second.failures_ = 0;
    found->second.linkSerial_ = onConnect_(std::move(aSocket))->Serial();
  }

  void OnFailure(const Key& aKey)
  {
    std::lock_guard lock(mutex_);
    const auto found = targets_.find(aKey);
    if (stopped_ || found == targets_.end()) {
      return;
    }
    Target& target = found->second;
    if (!target.permanent_ && ++target.failures_ >= kMaxConnectFailures) {
      targets_.erase(found);
      return;
    }
    ConnectLater(aKey);
  }

  void ConnectLater(const Key& aKey)
  {
    auto timer = std::make_shared<asio::steady_timer>(context_);
    timer->expires_after(settings_.redialInterval_);
    timer->async_wait(
      [self = shared_from_this(), aKey, timer](const asio::error_code& aError) {
        if (!aError) {
          self->Connect(aKey);
        }
      });
  }

  asio::io_context& context_;
  const LinkSettings settings_;
  const OnConnect onConnect_;
  std::mutex mutex_;
  bool stopped_ = false;
  std::map<Key, Target> targets_;
};

LinkConnector::LinkConnector(IoPool& aPool,
                             LinkSettings aSettings,
                             OnConnect aOnConnect)
  : state_(std::make_shared<State>(aPool.Context(),
                                   aSettings,
                                   std::move(aOnConnect)))
{
}

LinkConnector::~LinkConnector()
{
  std::lock_guard lock(state_->mutex_);
  state_->stopped_ = true;
}

void
LinkConnector::Add(const Endpoint& aEndpoint, bool aPermanent)
{
  const State::Key key{ aEndpoint.host_, aEndpoint.port_ };
  {
    std::lock_guard lock(state_->mutex_);
    if (state_->stopped_ || state_->targets_.contains(key)) {
      return;
    }
    state_->targets_[key].permanent_ = aPermanent;
  }
  state_->Connect(key);
}

void
LinkConnector::Pause(const LinkPtr& aLink)
{
  std::lock_guard lock(state_->mutex_);
  for (auto& [key, target] : state_->targets_) {
    if (target.linkSerial_ == aLink->Serial()) {
      target.linkSerial_ = 0;
      target.paused_ = true;
    }
  }
}

void
LinkConnector::OnLinkEnd(const LinkPtr& aLink)
{
  std::lock_guard lock(state_->mutex_);
  if (state_->stopped_) {
    return;
  }
  const auto ended = std::ranges::find_if(state_->targets_, [&](auto& aTarget) {
    return aTarget.second.linkSerial_ == aLink->Serial();
  });
  if (ended == state_->targets_.end()) {
    return; // reconnecting is paused
  }
  ended->second.linkSerial_ = 0;
  state_->ConnectLater(ended->first);
  for (auto& [key, target] : state_->targets_) {
    if (target.paused_) {
      target.paused_ = false;
      state_->ConnectLater(key);
    }
  }
}

} // namespace cornelfront
