#include "cornelfront/http_server.h"

#include <glog/logging.h>
#include <microhttpd.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cctype>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <unordered_set>

namespace cornelfront {

namespace {

constexpr int kStatusInternalError = 500;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusTooLarge = 413;

/// Requests that are suspended while they wait for their answer. MHD must not
/// be stopped before every one of them is resumed.
struct PendingSet
{
  std::mutex mutex_;
  bool stopping_ = false;
  std::unordered_set<HttpReply::State*> replies_;
};

} // namespace

/// Meeting point of the MHD thread that owns a connection and the thread that
/// sends the answer.
struct HttpReply::State
{
  std::mutex mutex_;
  MHD_Connection* connection_ = nullptr;
  bool suspended_ = false;
  std::optional<HttpResponse> response_;
  std::shared_ptr<PendingSet> pending_;

  ~State()
  {
    std::lock_guard lock(pending_->mutex_);
    pending_->replies_.erase(this);
  }

  void Send(HttpResponse aResponse)
  {
    std::lock_guard lock(mutex_);
    if (response_) {
      return;
    }
    response_ = std::move(aResponse);
    if (suspended_) {
      suspended_ = false;
      MHD_resume_connection(connection_);
    }
  }
};

namespace {

/// What MHD keeps for one request between its callbacks.
struct RequestState
{
  HttpRequest request_;
  bool tooLarge_ = false;
  bool dispatched_ = false;
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

MHD_Result
CollectHeader(void* aTarget, MHD_ValueKind, const char* aKey, const char* aVal)
{
  auto* request = static_cast<HttpRequest*>(aTarget);
  request->headers_[Lowercase(aKey)] = aVal != nullptr ? aVal : "";
  return MHD_YES;
}

MHD_Result
CollectQuery(void* aTarget, MHD_ValueKind, const char* aKey, const char* aVal)
{
  auto* request = static_cast<HttpRequest*>(aTarget);
  request->query_[aKey] = aVal != nullptr ? aVal : "";
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
  state_->Send(std::move(aResponse));
}

class HttpServer::Impl
{
public:
  Impl(HttpServerOptions aOptions, HttpHandler aHandler)
    : options_(std::move(aOptions))
    , handler_(std::move(aHandler))
    , pending_(std::make_shared<PendingSet>())
  {
    Start();
  }

  ~Impl()
  {
    ResumeAll();
    MHD_stop_daemon(daemon_);
  }

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
    daemon_ =
      MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME,
                       options_.port_,
                       nullptr,
                       nullptr,
                       &Impl::OnRequest,
                       this,
                       MHD_OPTION_SOCK_ADDR,
                       reinterpret_cast<sockaddr*>(&address),
                       MHD_OPTION_THREAD_POOL_SIZE,
                       options_.threads_ > 1 ? options_.threads_ : 0U,
                       MHD_OPTION_CONNECTION_LIMIT,
                       options_.maxConnections_,
                       MHD_OPTION_CONNECTION_TIMEOUT,
                       static_cast<unsigned>(options_.idleTimeout_.count()),
                       MHD_OPTION_NOTIFY_COMPLETED,
                       &Impl::OnCompleted,
                       nullptr,
                       MHD_OPTION_LISTENING_ADDRESS_REUSE,
                       1U,
                       MHD_OPTION_END);
    if (daemon_ == nullptr) {
      throw std::runtime_error("cannot serve HTTP on " + options_.address_ +
                               ":" + std::to_string(options_.port_));
    }
  }

  /// Answers everything that still waits, as MHD_stop_daemon demands.
  void ResumeAll()
  {
    std::lock_guard lock(pending_->mutex_);
    pending_->stopping_ = true;
    for (HttpReply::State* reply : pending_->replies_) {
      reply->Send({ .status_ = kStatusUnavailable });
    }
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
      *aState = NewRequest(aConnection, aUrl, aMethod);
      return MHD_YES;
    }
    if (*aUploadSize > 0) {
      self->CollectBody(*state, aUpload, *aUploadSize);
      *aUploadSize = 0;
      return MHD_YES;
    }
    return self->Answer(*state, aConnection);
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

  void CollectBody(RequestState& aState, const char* aData, size_t aSize) const
  {
    std::string& body = aState.request_.body_;
    if (body.size() + aSize > options_.maxBodyBytes_) {
      aState.tooLarge_ = true;
      body.clear();
    }
    if (!aState.tooLarge_) {
      body.append(aData, aSize);
    }
  }

  MHD_Result Answer(RequestState& aState, MHD_Connection* aConnection)
  {
    if (aState.tooLarge_) {
      return QueueResponse(aConnection,
                           { .status_ = kStatusTooLarge,
                             .body_ = "{\"error\":\"body exceeds " +
                                      std::to_string(options_.maxBodyBytes_) +
                                      " bytes\"}\n" });
    }
    if (!aState.dispatched_) {
      aState.dispatched_ = true;
      Dispatch(aState, aConnection);
    }
    std::lock_guard lock(aState.reply_->mutex_);
    if (aState.reply_->response_) {
      return QueueResponse(aConnection, *aState.reply_->response_);
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
    bool stopping = false;
    {
      std::lock_guard lock(pending_->mutex_);
      pending_->replies_.insert(aState.reply_.get());
      stopping = pending_->stopping_;
    }
    if (stopping) {
      aState.reply_->Send({ .status_ = kStatusUnavailable });
      return;
    }
    try {
      handler_(std::move(aState.request_), NewReply(aState.reply_));
    } catch (const std::exception& error) {
      LOG(ERROR) << "HTTP handler failed: " << error.what();
      aState.reply_->Send({ .status_ = kStatusInternalError });
    }
  }

  /// Returns a reply that answers 500 once its last copy is gone.
  static HttpReply NewReply(const std::shared_ptr<HttpReply::State>& aState)
  {
    return HttpReply({ aState.get(), [aState](HttpReply::State*) {
                        aState->Send({ .status_ = kStatusInternalError });
                      } });
  }

  static void OnCompleted(void*,
                          MHD_Connection*,
                          void** aState,
                          MHD_RequestTerminationCode)
  {
    delete static_cast<RequestState*>(*aState);
    *aState = nullptr;
  }

  HttpServerOptions options_;
  HttpHandler handler_;
  std::shared_ptr<PendingSet> pending_;
  MHD_Daemon* daemon_ = nullptr;
};

HttpServer::HttpServer(HttpServerOptions aOptions, HttpHandler aHandler)
  : impl_(std::make_unique<Impl>(std::move(aOptions), std::move(aHandler)))
{
}

HttpServer::~HttpServer() = default;

uint16_t
HttpServer::Port() const
{
  return impl_->Port();
}

} // namespace cornelfront
