#include "cornelfront/http_server.h"

#include "net/arrival_bound.h"
#include "net/receive_timeout_monitor.h"
#include "net/request_framing.h"
#include "net/server_errors.h"

#include <glog/logging.h>
#include <microhttpd.h>

#include <arpa/inet.h>
#include <asio.hpp>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <atomic>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <unordered_set>
#include <variant>

namespace cornelfront {

namespace {

/// Requests whose response is still outstanding. Their connections are
/// suspended, and MHD must not be stopped before all of them are resumed.
struct PendingReplies
{
  std::mutex mutex_;
  bool stopping_ = false;
  std::unordered_set<HttpReply::State*> replies_;
};

/// Ends a request without a response.
struct CloseConnection
{};

using RequestEnd = std::variant<HttpResponse, CloseConnection>;

/// Returns true if the other side has closed the connection and all that it
/// sent before has been read. Readable data is a pipelined request.
bool
IsClosedByPeer(int aSocket)
{
  char byte = 0;
  const ssize_t size = recv(aSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
                       errno != EINTR);
}

/// Returns true unless it is certain that nothing can be read.
bool
MayBeReadable(int aSocket)
{
  pollfd state{ .fd = aSocket, .events = POLLIN };
  return poll(&state, 1, 0) != 0;
}

/// Detects that the client closes its socket while the server is not reading
/// from it.
class DisconnectMonitor
{
public:
  DisconnectMonitor(asio::io_context& aLoop, int aSocket)
    : descriptor_(aLoop, aSocket)
  {
  }
  ~DisconnectMonitor() { descriptor_.release(); } // MHD closes the socket
  DisconnectMonitor(const DisconnectMonitor&) = delete;
  DisconnectMonitor& operator=(const DisconnectMonitor&) = delete;

  void Start(std::function<void()> aOnDisconnect)
  {
    descriptor_.async_wait(asio::posix::stream_descriptor::wait_read,
                           [socket = descriptor_.native_handle(),
                            onDisconnect = std::move(aOnDisconnect)](
                             const asio::error_code& aError) {
                             if (aError != asio::error::operation_aborted &&
                                 IsClosedByPeer(socket)) {
                               onDisconnect();
                             }
                           });
  }

private:
  asio::posix::stream_descriptor descriptor_;
};

} // namespace

/// State shared by the MHD thread that owns the connection and the thread that
/// sends the response.
struct HttpReply::State
{
  std::mutex mutex_;
  MHD_Connection* connection_ = nullptr;
  bool suspended_ = false;
  std::optional<RequestEnd> end_;
  std::shared_ptr<PendingReplies> pending_;
  /// Set on a server with an event loop.
  asio::io_context* loop_ = nullptr;
  std::function<void()> pump_;
  std::unique_ptr<DisconnectMonitor> watch_;

  ~State()
  {
    std::lock_guard lock(pending_->mutex_);
    pending_->replies_.erase(this);
  }

  void End(RequestEnd aEnd)
  {
    std::lock_guard lock(mutex_);
    if (end_) {
      return;
    }
    end_ = std::move(aEnd);
    watch_.reset();
    if (suspended_) {
      suspended_ = false;
      MHD_resume_connection(connection_);
      if (pump_) {
        pump_();
      }
    }
  }
};

namespace {

/// State of one request between the callbacks of MHD.
struct RequestState
{
  HttpRequest request_;
  bool dispatched_ = false;
  /// An error response was sent before the request had arrived completely; the
  /// rest of the request is read and discarded.
  bool rejected_ = false;
  std::shared_ptr<HttpReply::State> reply_;
};

std::string
Lowercase(const char* aText)
{
  std::string text = aText;
  for (char& c : text) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return text;
}

/// Adds a value to a field, after existing values and the separator.
void
AppendField(std::map<std::string, std::string>& aFields,
            const std::string& aName,
            const char* aSeparator,
            const char* aValue)
{
  const std::string value = aValue != nullptr ? aValue : "";
  const auto [field, isNew] = aFields.emplace(aName, value);
  if (!isNew) {
    field->second += aSeparator + value;
  }
}

int
SocketOf(MHD_Connection* aConnection)
{
  return MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_CONNECTION_FD)
    ->connect_fd;
}

MHD_Result
CollectHeader(void* aTarget, MHD_ValueKind, const char* aKey, const char* aVal)
{
  auto* request = static_cast<HttpRequest*>(aTarget);
  AppendField(request->headers_, Lowercase(aKey), ", ", aVal);
  return MHD_YES;
}

MHD_Result
CollectQuery(void* aTarget, MHD_ValueKind, const char* aKey, const char* aVal)
{
  auto* request = static_cast<HttpRequest*>(aTarget);
  AppendField(request->query_, aKey, ",", aVal);
  return MHD_YES;
}

MHD_Result
QueueResponse(MHD_Connection* aConnection, const HttpResponse& aResponse)
{
  MHD_Response* response = MHD_create_response_from_buffer(
    aResponse.body_.size(),
    const_cast<char*>(aResponse.body_.data()), // copied by MHD
    MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(
    response, MHD_HTTP_HEADER_CONTENT_TYPE, aResponse.contentType_.c_str());
  for (const auto& [name, value] : aResponse.headers_) {
    MHD_add_response_header(response, name.c_str(), value.c_str());
  }
  const MHD_Result result = MHD_queue_response(
    aConnection, static_cast<unsigned>(aResponse.status_), response);
  MHD_destroy_response(response);
  return result;
}

/// Ends a request as MHD's handler of requests.
struct EndRequest
{
  MHD_Connection* connection_ = nullptr;

  MHD_Result operator()(const HttpResponse& aResponse) const
  {
    return QueueResponse(connection_, aResponse);
  }
  MHD_Result operator()(const CloseConnection&) const
  {
    return MHD_NO; // closes the connection
  }
};

} // namespace

std::string
HttpRequest::Header(const std::string& aLowercaseName,
                    const std::string& aDefault) const
{
  const auto found = headers_.find(aLowercaseName);
  return found == headers_.end() ? aDefault : found->second;
}

std::string
HttpRequest::Query(const std::string& aName, const std::string& aDefault) const
{
  const auto found = query_.find(aName);
  return found == query_.end() ? aDefault : found->second;
}

HttpReply::HttpReply(std::shared_ptr<State> aState)
  : state_(std::move(aState))
{
}

void
HttpReply::Send(HttpResponse aResponse) const
{
  state_->End(std::move(aResponse));
}

void
HttpReply::Close() const
{
  state_->End(CloseConnection{});
}

bool
HttpReply::HasClientLeft() const
{
  return state_->loop_ != nullptr && !state_->end_ &&
         IsClosedByPeer(SocketOf(state_->connection_));
}

void
HttpReply::OnClientDisconnect(std::function<void()> aOnDisconnect) const
{
  if (state_->loop_ != nullptr && !state_->end_) {
    state_->watch_ = std::make_unique<DisconnectMonitor>(
      *state_->loop_, SocketOf(state_->connection_));
    state_->watch_->Start(std::move(aOnDisconnect));
  }
}

class HttpServer::Impl
{
public:
  Impl(HttpServerOptions aOptions, HttpHandler aHandler)
    : options_(std::move(aOptions))
    , handler_(std::move(aHandler))
    , pending_(std::make_shared<PendingReplies>())
    , watch_(
        { .requestLimit_ = options_.requestReceiveLimit_,
          .idleLimit_ = options_.idleTimeout_ + options_.requestReceiveLimit_,
          .response_ =
            RawResponse(RequestTooSlow(options_.requestReceiveLimit_)) })
  {
    Start();
  }

  ~Impl()
  {
    *alive_ = false;
    ResumeAll();
    if (pumpDescriptor_) {
      pumpDescriptor_->release(); // MHD closes the descriptor
    }
    MHD_stop_daemon(daemon_);
  }

  size_t OpenRequests() const { return openRequests_.load(); }

  uint16_t Port() const
  {
    const MHD_DaemonInfo* info =
      MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT);
    return info->port;
  }

private:
  void Start()
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(options_.port_);
    if (inet_pton(AF_INET, options_.address_.c_str(), &address.sin_addr) != 1) {
      throw std::runtime_error(options_.address_ + ": not an IPv4 address");
    }
    const unsigned mode =
      options_.loop_ != nullptr ? MHD_USE_EPOLL : MHD_USE_EPOLL_INTERNAL_THREAD;
    const bool pooled = options_.loop_ == nullptr && options_.threads_ > 1;
    daemon_ =
      MHD_start_daemon(mode | MHD_ALLOW_SUSPEND_RESUME,
                       options_.port_,
                       nullptr,
                       nullptr,
                       &Impl::OnRequest,
                       this,
                       MHD_OPTION_SOCK_ADDR,
                       reinterpret_cast<sockaddr*>(&address),
                       MHD_OPTION_THREAD_POOL_SIZE,
                       pooled ? options_.threads_ : 0U,
                       MHD_OPTION_CONNECTION_LIMIT,
                       options_.maxConnections_,
                       MHD_OPTION_CONNECTION_TIMEOUT,
                       static_cast<unsigned>(options_.idleTimeout_.count()),
                       MHD_OPTION_NOTIFY_COMPLETED,
                       &Impl::OnCompleted,
                       this,
                       MHD_OPTION_NOTIFY_CONNECTION,
                       &Impl::OnConnection,
                       this,
                       MHD_OPTION_URI_LOG_CALLBACK,
                       &Impl::OnRequestLine,
                       this,
                       MHD_OPTION_LISTENING_ADDRESS_REUSE,
                       1U,
                       MHD_OPTION_END);
    if (daemon_ == nullptr) {
      throw std::runtime_error("cannot serve HTTP on " + options_.address_ +
                               ":" + std::to_string(options_.port_));
    }
    if (options_.loop_ != nullptr) {
      listener_ =
        MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_LISTEN_FD)->listen_fd;
      const MHD_DaemonInfo* info =
        MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD);
      pumpDescriptor_.emplace(*options_.loop_, info->epoll_fd);
      pumpTimer_.emplace(*options_.loop_);
      WaitForEvents();
      WaitForTimer();
    }
  }

  /// Schedules one run of MHD on the event loop; does nothing if a run is
  /// already scheduled.
  void SchedulePump()
  {
    if (pumpScheduled_) {
      return;
    }
    pumpScheduled_ = true;
    asio::post(*options_.loop_, [this, alive = alive_] {
      if (*alive) {
        pumpScheduled_ = false;
        Pump();
      }
    });
  }

  void Pump()
  {
    arrivals_.BeginLook(BootNow());
    MHD_run(daemon_);
    MHD_UNSIGNED_LONG_LONG timeout = 1;
    const bool left =
      MHD_get_timeout(daemon_, &timeout) == MHD_YES && timeout == 0;
    arrivals_.EndLook(left, !MayBeReadable(listener_));
    if (left) {
      SchedulePump();
    }
  }

  void WaitForEvents()
  {
    pumpDescriptor_->async_wait(
      asio::posix::stream_descriptor::wait_read,
      [this, alive = alive_](const asio::error_code& aError) {
        if (*alive && !aError) {
          Pump();
          WaitForEvents();
        }
      });
  }

  /// Runs MHD periodically, so that it closes idle connections, and for the
  /// bound on arrivals.
  void WaitForTimer()
  {
    pumpTimer_->expires_after(options_.lookInterval_);
    pumpTimer_->async_wait(
      [this, alive = alive_](const asio::error_code& aError) {
        if (*alive && !aError) {
          Pump();
          WaitForTimer();
        }
      });
  }

  /// Answers all outstanding requests, which resumes their connections as
  /// MHD_stop_daemon requires.
  void ResumeAll()
  {
    std::lock_guard lock(pending_->mutex_);
    pending_->stopping_ = true;
    for (HttpReply::State* reply : pending_->replies_) {
      reply->End(StoppedDuringRequest());
    }
  }

  static void OnConnection(void* aSelf,
                           MHD_Connection* aConnection,
                           void**,
                           MHD_ConnectionNotificationCode aEvent)
  {
    auto* self = static_cast<Impl*>(aSelf);
    if (aEvent == MHD_CONNECTION_NOTIFY_STARTED) {
      self->watch_.OnConnect(SocketOf(aConnection), MonoClock::now());
      if (self->options_.loop_ != nullptr) {
        self->arrivals_.OnAccept(SocketOf(aConnection));
      }
    } else {
      self->watch_.OnClose(SocketOf(aConnection));
    }
  }

  static void* OnRequestLine(void* aSelf,
                             const char*,
                             MHD_Connection* aConnection)
  {
    auto* self = static_cast<Impl*>(aSelf);
    self->watch_.OnRequestLine(SocketOf(aConnection), MonoClock::now());
    return nullptr;
  }

  static MHD_Result OnRequest(void* aSelf,
                              MHD_Connection* aConnection,
                              const char* aUrl,
                              const char* aMethod,
                              const char*,
                              const char* aUpload,
                              size_t* aUploadSize,
                              void** aState)
  {
    auto* self = static_cast<Impl*>(aSelf);
    auto* state = static_cast<RequestState*>(*aState);
    if (state == nullptr) {
      state = NewRequest(aConnection, aUrl, aMethod);
      self->openRequests_.fetch_add(1);
      *aState = state;
      self->CheckRequest(*state, aConnection);
      return MHD_YES;
    }
    if (*aUploadSize > 0) {
      const size_t size = *aUploadSize;
      *aUploadSize = 0;
      self->CollectBody(*state, aConnection, { aUpload, size });
      return MHD_YES;
    }
    if (state->rejected_) {
      return MHD_NO; // closes the connection
    }
    if (!state->dispatched_ &&
        !self->watch_.OnReceived(SocketOf(aConnection))) {
      return MHD_NO; // the client has been told that this was too slow
    }
    return self->Answer(*state, aConnection);
  }

  /// Rejects a request whose framing headers are invalid or whose
  /// Content-Length is too large.
  void CheckRequest(RequestState& aState, MHD_Connection* aConnection) const
  {
    if (const auto refusal = CheckFraming(aState.request_)) {
      Reject(aState, aConnection, *refusal);
      return;
    }
    const std::string text = aState.request_.Header("content-length");
    const size_t limit = options_.maxBodyBytes_;
    if (std::strtoull(text.c_str(), nullptr, 10) > limit) {
      Reject(aState, aConnection, BodyTooLarge(text, limit));
    }
  }

  /// Sends an error response immediately, on the socket itself, because MHD can
  /// respond only once a request has arrived completely. The rest of the
  /// request is read and discarded for up to the receive limit: closing a
  /// connection with unread data resets it, and the client might never see the
  /// response.
  static void Reject(RequestState& aState,
                     MHD_Connection* aConnection,
                     const HttpResponse& aResponse)
  {
    aState.rejected_ = true;
    aState.request_.body_ = {};
    RespondAndShutdownSend(SocketOf(aConnection), RawResponse(aResponse));
  }

  static RequestState* NewRequest(MHD_Connection* aConnection,
                                  const char* aUrl,
                                  const char* aMethod)
  {
    auto state = std::make_unique<RequestState>();
    state->request_.path_ = aUrl;
    state->request_.method_ = aMethod;
    MHD_get_connection_values(
      aConnection, MHD_HEADER_KIND, &CollectHeader, &state->request_);
    MHD_get_connection_values(
      aConnection, MHD_GET_ARGUMENT_KIND, &CollectQuery, &state->request_);
    return state.release();
  }

  void CollectBody(RequestState& aState,
                   MHD_Connection* aConnection,
                   std::string_view aData) const
  {
    if (aState.rejected_) {
      return;
    }
    std::string& body = aState.request_.body_;
    const size_t size = body.size() + aData.size();
    if (size > options_.maxBodyBytes_) {
      Reject(aState,
             aConnection,
             BodyTooLarge(std::to_string(size) + " or more",
                          options_.maxBodyBytes_));
      return;
    }
    body.append(aData);
  }

  MHD_Result Answer(RequestState& aState, MHD_Connection* aConnection)
  {
    if (!aState.dispatched_) {
      aState.dispatched_ = true;
      Dispatch(aState, aConnection);
    }
    std::lock_guard lock(aState.reply_->mutex_);
    if (aState.reply_->end_) {
      return std::visit(EndRequest{ aConnection }, *aState.reply_->end_);
    }
    aState.reply_->suspended_ = true;
    MHD_suspend_connection(aConnection);
    return MHD_YES;
  }

  void Dispatch(RequestState& aState, MHD_Connection* aConnection)
  {
    aState.reply_ = std::make_shared<HttpReply::State>();
    aState.reply_->connection_ = aConnection;
    aState.reply_->pending_ = pending_;
    aState.reply_->loop_ = options_.loop_;
    if (options_.loop_ != nullptr) {
      aState.reply_->pump_ = [this] { SchedulePump(); };
      aState.request_.arrivedAfter_ =
        arrivals_.ArrivedAfter(SocketOf(aConnection));
    }
    bool stopping = false;
    {
      std::lock_guard lock(pending_->mutex_);
      pending_->replies_.insert(aState.reply_.get());
      stopping = pending_->stopping_;
    }
    if (stopping) {
      aState.reply_->End(Stopping());
      return;
    }
    try {
      handler_(std::move(aState.request_), NewReply(aState.reply_));
    } catch (const std::exception& error) {
      LOG(ERROR) << "HTTP handler failed: " << error.what();
      aState.reply_->End(HandlerFailed());
    }
  }

  /// Returns a reply that sends status 500 when its last copy is destroyed.
  static HttpReply NewReply(const std::shared_ptr<HttpReply::State>& aState)
  {
    return HttpReply({ aState.get(), [aState](HttpReply::State*) {
                        aState->End(HandlerFailed());
                      } });
  }

  static void OnCompleted(void* aSelf,
                          MHD_Connection* aConnection,
                          void** aState,
                          MHD_RequestTerminationCode)
  {
    auto* self = static_cast<Impl*>(aSelf);
    self->watch_.OnAnswered(SocketOf(aConnection), MonoClock::now());
    if (*aState != nullptr) {
      self->openRequests_.fetch_sub(1);
    }
    delete static_cast<RequestState*>(*aState);
    *aState = nullptr;
  }

  std::atomic<size_t> openRequests_ = 0;
  HttpServerOptions options_;
  HttpHandler handler_;
  std::shared_ptr<PendingReplies> pending_;
  ReceiveTimeoutMonitor watch_;
  /// Used on a server with an event loop only.
  ArrivalBound arrivals_{ BootNow() };
  int listener_ = -1;
  MHD_Daemon* daemon_ = nullptr;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  bool pumpScheduled_ = false;
  std::optional<asio::posix::stream_descriptor> pumpDescriptor_;
  std::optional<asio::steady_timer> pumpTimer_;
};

HttpServer::HttpServer(HttpServerOptions aOptions, HttpHandler aHandler)
  : impl_(std::make_unique<Impl>(std::move(aOptions), std::move(aHandler)))
{
}

HttpServer::~HttpServer() = default;

size_t
HttpServer::OpenRequests() const
{
  return impl_->OpenRequests();
}

uint16_t
HttpServer::Port() const
{
  return impl_->Port();
}

} // namespace cornelfront
