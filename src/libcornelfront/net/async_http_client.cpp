#include "cornelfront/async_http_client.h"

#include "net/curl_transfer_pvt.h"

#include <stdexcept>
#include <unordered_map>
#include <vector>

namespace cornelfront {

namespace {

/// Number of idle easy handles kept for reuse.
constexpr size_t kMaxIdleHandles = 32;

struct Exchange
{
  Exchange(asio::io_context& aLoop,
           CurlSockets& aSockets,
           HttpClientRequest aRequest,
           AsyncHttpClient::Callback aDone)
    : request_(std::move(aRequest))
    , transfer_(request_, aSockets)
    , done_(std::move(aDone))
    , progressTimer_(aLoop)
    , waitTimer_(aLoop)
  {
  }

  const HttpClientRequest request_;
  CurlTransfer transfer_;
  AsyncHttpClient::Callback done_;
  asio::steady_timer progressTimer_;
  /// Runs while the request may wait for a connection.
  asio::steady_timer waitTimer_;
};
using ExchangePtr = std::shared_ptr<Exchange>;

} // namespace

class AsyncHttpClient::Impl
{
public:
  Impl(asio::io_context& aLoop, AsyncHttpClientOptions aOptions)
    : loop_(aLoop)
    , maxConnectionsPerHost_(
        static_cast<size_t>(aOptions.maxConnectionsPerHost_))
    , timer_(aLoop)
  {
    InitializeCurlOnce();
    multi_ = curl_multi_init();
    if (multi_ == nullptr) {
      throw std::runtime_error("curl_multi_init failed");
    }
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &Impl::OnSocket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &Impl::OnTimer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    // The default limit depends on the number of active transfers, so libcurl
    // would close idle connections while few transfers are active.
    curl_multi_setopt(
      multi_, CURLMOPT_MAXCONNECTS, aOptions.maxConnectionsPerHost_);
    curl_multi_setopt(
      multi_, CURLMOPT_MAX_HOST_CONNECTIONS, aOptions.maxConnectionsPerHost_);
  }

  ~Impl()
  {
    *alive_ = false;
    for (auto& [easy, exchange] : exchanges_) {
      curl_multi_remove_handle(multi_, easy);
      curl_easy_cleanup(easy);
    }
    for (CURL* easy : idle_) {
      curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(multi_);
    for (auto& [fd, watch] : watches_) {
      watch->descriptor_.release(); // libcurl closes the socket
    }
  }

  void Send(HttpClientRequest aRequest, Callback aDone)
  {
    Start(std::move(aRequest), std::move(aDone));
  }

  void Send(HttpClientRequest aRequest, ProgressLimits aLimits, Callback aDone)
  {
    CURL* easy = Start(std::move(aRequest), std::move(aDone));
    WatchProgress(easy,
                  exchanges_.at(easy),
                  aLimits,
                  MonoClock::now() + aLimits.firstByte_);
  }

  bool Idle() const { return exchanges_.empty(); }

private:
  /// Events that libcurl waits for on one socket.
  struct Watch
  {
    explicit Watch(asio::io_context& aLoop, curl_socket_t aSocket)
      : descriptor_(aLoop, aSocket)
    {
    }

    asio::posix::stream_descriptor descriptor_;
    bool wantsRead_ = false;
    bool wantsWrite_ = false;
    bool reading_ = false;
    bool writing_ = false;
  };
  using WatchPtr = std::shared_ptr<Watch>;

  CURL* Start(HttpClientRequest aRequest, Callback aDone)
  {
    CURL* easy = AcquireHandle();
    auto exchange = std::make_shared<Exchange>(
      loop_, sockets_, std::move(aRequest), std::move(aDone));
    exchange->transfer_.Prepare(easy);
    if (exchanges_.size() >= maxConnectionsPerHost_) {
      LimitWait(easy, exchange, MonoClock::now());
    }
    exchanges_.emplace(easy, std::move(exchange));
    curl_multi_add_handle(multi_, easy);
    return easy;
  }

  /// libcurl does not end a request that waits for a connection.
  void LimitWait(CURL* aEasy, const ExchangePtr& aExchange, MonoTime aNow)
  {
    aExchange->waitTimer_.expires_at(aNow + aExchange->request_.timeout_);
    aExchange->waitTimer_.async_wait(
      [this, alive = alive_, aEasy, weak = std::weak_ptr<Exchange>(aExchange)](
        const asio::error_code& aError) {
        const ExchangePtr exchange = weak.lock();
        if (*alive && !aError && exchange && !exchange->transfer_.Issued()) {
          exchange->done_(EndTransfer(aEasy, CURLE_OPERATION_TIMEDOUT));
        }
      });
  }

  /// Ends a transfer of which no byte has arrived by \p aEnd, or in the time
  /// since its newest byte that \p aLimits allow.
  void WatchProgress(CURL* aEasy,
                     const ExchangePtr& aExchange,
                     ProgressLimits aLimits,
                     MonoTime aEnd)
  {
    aExchange->progressTimer_.expires_at(aEnd);
    aExchange->progressTimer_.async_wait(
      [this,
       alive = alive_,
       aEasy,
       weak = std::weak_ptr<Exchange>(aExchange),
       aLimits](const asio::error_code& aError) {
        const ExchangePtr exchange = weak.lock();
        if (*alive && !aError && exchange) {
          CheckProgress(aEasy, exchange, aLimits, MonoClock::now());
        }
      });
  }

  void CheckProgress(CURL* aEasy,
                     const ExchangePtr& aExchange,
                     ProgressLimits aLimits,
                     MonoTime aNow)
  {
    const auto lastByte = aExchange->transfer_.LastByte();
    if (lastByte && aNow < *lastByte + aLimits.nextByte_) {
      WatchProgress(aEasy, aExchange, aLimits, *lastByte + aLimits.nextByte_);
      return;
    }
    HttpResult result = EndTransfer(aEasy, CURLE_OPERATION_TIMEDOUT);
    result.error_ = lastByte ? "the response stopped" : "no response";
    aExchange->done_(std::move(result));
  }

  CURL* AcquireHandle()
  {
    if (!idle_.empty()) {
      CURL* easy = idle_.back();
      idle_.pop_back();
      return easy;
    }
    CURL* easy = curl_easy_init();
    if (easy == nullptr) {
      throw std::runtime_error("curl_easy_init failed");
    }
    return easy;
  }

  static int OnSocket(CURL*,
                      curl_socket_t aSocket,
                      int aWhat,
                      void* aSelf,
                      void*)
  {
    static_cast<Impl*>(aSelf)->WatchSocket(aSocket, aWhat);
    return 0;
  }

  static int OnTimer(CURLM*, long aTimeoutMs, void* aSelf)
  {
    static_cast<Impl*>(aSelf)->SetTimer(aTimeoutMs);
    return 0;
  }

  void WatchSocket(curl_socket_t aSocket, int aWhat)
  {
    const auto found = watches_.find(aSocket);
    if (aWhat == CURL_POLL_REMOVE) {
      if (found != watches_.end()) {
        found->second->wantsRead_ = false;
        found->second->wantsWrite_ = false;
        found->second->descriptor_.release();
        watches_.erase(found);
      }
      return;
    }
    WatchPtr watch;
    if (found == watches_.end()) {
      watch = std::make_shared<Watch>(loop_, aSocket);
      watches_.emplace(aSocket, watch);
    } else {
      watch = found->second;
    }
    watch->wantsRead_ = (aWhat & CURL_POLL_IN) != 0;
    watch->wantsWrite_ = (aWhat & CURL_POLL_OUT) != 0;
    Arm(aSocket, watch);
  }

  void Arm(curl_socket_t aSocket, const WatchPtr& aWatch)
  {
    if (aWatch->wantsRead_ && !aWatch->reading_) {
      aWatch->reading_ = true;
      aWatch->descriptor_.async_wait(
        asio::posix::stream_descriptor::wait_read,
        [this, alive = alive_, aSocket, aWatch](
          const asio::error_code& aError) {
          aWatch->reading_ = false;
          OnReady(alive, aSocket, aWatch, CURL_CSELECT_IN, aError);
        });
    }
    if (aWatch->wantsWrite_ && !aWatch->writing_) {
      aWatch->writing_ = true;
      aWatch->descriptor_.async_wait(
        asio::posix::stream_descriptor::wait_write,
        [this, alive = alive_, aSocket, aWatch](
          const asio::error_code& aError) {
          aWatch->writing_ = false;
          OnReady(alive, aSocket, aWatch, CURL_CSELECT_OUT, aError);
        });
    }
  }

  void OnReady(const std::shared_ptr<bool>& aAlive,
               curl_socket_t aSocket,
               const WatchPtr& aWatch,
               int aReady,
               const asio::error_code& aError)
  {
    if (!*aAlive || aError == asio::error::operation_aborted ||
        !aWatch->descriptor_.is_open()) {
      return;
    }
    RunSocketAction(aSocket, aError ? CURL_CSELECT_ERR : aReady);
    const auto found = watches_.find(aSocket);
    if (found != watches_.end() && found->second == aWatch) {
      Arm(aSocket, aWatch);
    }
  }

  void SetTimer(long aTimeoutMs)
  {
    if (aTimeoutMs < 0) {
      timer_.cancel();
      return;
    }
    timer_.expires_after(Millis(aTimeoutMs));
    timer_.async_wait([this, alive = alive_](const asio::error_code& aError) {
      if (*alive && !aError) {
        RunSocketAction(CURL_SOCKET_TIMEOUT, 0);
      }
    });
  }

  void RunSocketAction(curl_socket_t aSocket, int aReady)
  {
    int running = 0;
    curl_multi_socket_action(multi_, aSocket, aReady, &running);
    CompleteTransfers();
  }

  void CompleteTransfers()
  {
    std::vector<std::pair<Callback, HttpResult>> done;
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      CURL* easy = message->easy_handle;
      Callback callback = std::move(exchanges_.at(easy)->done_);
      done.emplace_back(std::move(callback),
                        EndTransfer(easy, message->data.result));
    }
    const auto alive = alive_;
    for (auto& [callback, result] : done) {
      if (*alive) {
        callback(std::move(result));
      }
    }
  }

  /// Removes a transfer; one that is under way loses its connection.
  HttpResult EndTransfer(CURL* aEasy, CURLcode aCode)
  {
    const auto exchange = exchanges_.find(aEasy);
    HttpResult result = exchange->second->transfer_.TakeResult(aEasy, aCode);
    curl_multi_remove_handle(multi_, aEasy);
    exchanges_.erase(exchange);
    ReleaseHandle(aEasy);
    return result;
  }

  void ReleaseHandle(CURL* aEasy)
  {
    if (idle_.size() < kMaxIdleHandles) {
      curl_easy_reset(aEasy);
      idle_.push_back(aEasy);
    } else {
      curl_easy_cleanup(aEasy);
    }
  }

  asio::io_context& loop_;
  const size_t maxConnectionsPerHost_;
  asio::steady_timer timer_;
  CURLM* multi_ = nullptr;
  CurlSockets sockets_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::unordered_map<CURL*, ExchangePtr> exchanges_;
  std::unordered_map<curl_socket_t, WatchPtr> watches_;
  std::vector<CURL*> idle_;
};

AsyncHttpClient::AsyncHttpClient(asio::io_context& aLoop,
                                 AsyncHttpClientOptions aOptions)
  : impl_(std::make_unique<Impl>(aLoop, aOptions))
{
}

AsyncHttpClient::~AsyncHttpClient() = default;

void
AsyncHttpClient::Send(HttpClientRequest aRequest, Callback aDone)
{
  impl_->Send(std::move(aRequest), std::move(aDone));
}

void
AsyncHttpClient::Send(HttpClientRequest aRequest,
                      ProgressLimits aLimits,
                      Callback aDone)
{
  impl_->Send(std::move(aRequest), aLimits, std::move(aDone));
}

bool
AsyncHttpClient::Idle() const
{
  return impl_->Idle();
}

} // namespace cornelfront
