/// \file
/// TCP proxy with faults that tests set over HTTP. UDP is not relayed, because
/// no process of the system uses it.
///
/// POST /control takes {"route": i or "all"} and any of: "delay_ms" (in each
/// direction), "cut" (closes and refuses connections), "freeze" (keeps and
/// accepts connections, but forwards nothing until it is cleared),
/// "freeze_existing" (connections that are open now never forward anything
/// again; new ones work), "drop_to_client" and "drop_to_target" (discards the
/// data of one direction), and on framed routes "duplicate_frames" and
/// "reorder_frames".

#include "cornelfront/http_server.h"

#include <CLI/CLI.hpp>
#include <asio.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <deque>
#include <future>
#include <iostream>
#include <thread>

namespace cornelfront {
namespace {

using Json = nlohmann::json;
using asio::ip::tcp;
using ErrorCode = std::error_code;

constexpr size_t kReadBytes = 64U << 10;
constexpr size_t kLengthBytes = 4;
/// Reading pauses while more than this is queued for writing.
constexpr size_t kMaxQueuedBytes = 8U << 20;

/// Faults of a route.
struct Faults
{
  Millis delay_{ 0 };
  bool cut_ = false;
  bool freeze_ = false;
  bool dropToClient_ = false;
  bool dropToTarget_ = false;
  bool duplicateFrames_ = false;
  bool reorderFrames_ = false;
};

struct RouteOptions
{
  uint16_t port_ = 0;
  tcp::endpoint target_;
  /// The streams consist of frames, each after its length as a 4-byte
  /// big-endian number.
  bool framed_ = false;
};

/// One direction of one connection.
class Pipe : public std::enable_shared_from_this<Pipe>
{
public:
  Pipe(std::shared_ptr<tcp::socket> aFrom,
       std::shared_ptr<tcp::socket> aTo,
       const Faults& aFaults,
       bool aFramed,
       bool aToClient)
    : from_(std::move(aFrom))
    , to_(std::move(aTo))
    , faults_(aFaults)
    , framed_(aFramed)
    , toClient_(aToClient)
    , timer_(from_->get_executor())
  {
  }

  /// Resumes reading and writing unless a fault prevents it.
  void Pump()
  {
    Read();
    Write();
  }

  bool IsOpen() const { return from_->is_open(); }

  /// Stops forwarding permanently.
  void Silence() { silent_ = true; }

  void Close()
  {
    ErrorCode ignored;
    timer_.cancel();
    from_->close(ignored);
    to_->close(ignored);
  }

private:
  struct Chunk
  {
    MonoTime due_;
    std::string bytes_;
  };

  /// True while a fault stops reading and writing.
  bool IsBlocked() const { return silent_ || faults_.freeze_; }

  void Read()
  {
    if (reading_ || IsBlocked() || queuedBytes_ > kMaxQueuedBytes) {
      return;
    }
    reading_ = true;
    buffer_.resize(kReadBytes);
    from_->async_read_some(
      asio::buffer(buffer_),
      [self = shared_from_this()](ErrorCode aError, size_t aCount) {
        self->reading_ = false;
        self->OnRead(aError, aCount);
      });
  }

  void OnRead(ErrorCode aError, size_t aCount)
  {
    if (silent_) {
      return;
    }
    if (aError) {
      ended_ = true;
      Write();
      return;
    }
    if (!(toClient_ ? faults_.dropToClient_ : faults_.dropToTarget_)) {
      Accept(std::string_view(buffer_).substr(0, aCount));
    }
    Pump();
  }

  void Accept(std::string_view aBytes)
  {
    if (!framed_) {
      Enqueue(std::string(aBytes));
      return;
    }
    partial_ += aBytes;
    for (size_t size = FrameSize(); size != 0 && partial_.size() >= size;
         size = FrameSize()) {
      AcceptFrame(partial_.substr(0, size));
      partial_.erase(0, size);
    }
  }

  /// Returns the size of the first frame including its length field; 0 if the
  /// length field is incomplete.
  size_t FrameSize() const
  {
    if (partial_.size() < kLengthBytes) {
      return 0;
    }
    size_t length = 0;
    for (size_t i = 0; i < kLengthBytes; ++i) {
      length = length << 8U | static_cast<unsigned char>(partial_[i]);
    }
    return kLengthBytes + length;
  }

  void AcceptFrame(std::string aFrame)
  {
    if (faults_.reorderFrames_ && postponed_.empty()) {
      postponed_ = std::move(aFrame);
      return;
    }
    if (faults_.duplicateFrames_) {
      Enqueue(aFrame);
    }
    Enqueue(std::move(aFrame));
    if (!postponed_.empty()) {
      Enqueue(std::move(postponed_));
      postponed_.clear();
    }
  }

  void Enqueue(std::string aBytes)
  {
    queuedBytes_ += aBytes.size();
    queue_.push_back({ .due_ = MonoClock::now() + faults_.delay_,
                       .bytes_ = std::move(aBytes) });
  }

  void Write()
  {
    if (writing_ || IsBlocked()) {
      return;
    }
    if (queue_.empty()) {
      if (ended_) {
        Close();
      }
      return;
    }
    writing_ = true;
    timer_.expires_at(queue_.front().due_);
    timer_.async_wait(
      [self = shared_from_this()](ErrorCode aError) { self->OnDue(aError); });
  }

  void OnDue(ErrorCode aError)
  {
    if (aError || IsBlocked()) {
      writing_ = false;
      return;
    }
    asio::async_write(
      *to_,
      asio::buffer(queue_.front().bytes_),
      [self = shared_from_this()](ErrorCode aWriteError, size_t) {
        self->OnWritten(aWriteError);
      });
  }

  void OnWritten(ErrorCode aError)
  {
    writing_ = false;
    queuedBytes_ -= queue_.front().bytes_.size();
    queue_.pop_front();
    if (aError) {
      Close();
      return;
    }
    Pump();
  }

  std::shared_ptr<tcp::socket> from_;
  std::shared_ptr<tcp::socket> to_;
  const Faults& faults_;
  bool framed_;
  bool toClient_;
  bool silent_ = false;
  bool reading_ = false;
  bool writing_ = false;
  bool ended_ = false;
  std::string buffer_;
  std::string partial_;
  std::string postponed_;
  std::deque<Chunk> queue_;
  size_t queuedBytes_ = 0;
  asio::steady_timer timer_;
};

/// A listening port, its target and its connections.
class Route
{
public:
  Route(asio::io_context& aIo, const RouteOptions& aOptions)
    : io_(aIo)
    , options_(aOptions)
    , acceptor_(aIo)
  {
    Open();
  }

  uint16_t Port() const { return options_.port_; }

  void Apply(const Json& aJson)
  {
    faults_.delay_ =
      Millis(aJson.value("delay_ms", int64_t(faults_.delay_.count())));
    faults_.freeze_ = aJson.value("freeze", faults_.freeze_);
    faults_.dropToClient_ =
      aJson.value("drop_to_client", faults_.dropToClient_);
    faults_.dropToTarget_ =
      aJson.value("drop_to_target", faults_.dropToTarget_);
    faults_.duplicateFrames_ =
      aJson.value("duplicate_frames", faults_.duplicateFrames_);
    faults_.reorderFrames_ =
      aJson.value("reorder_frames", faults_.reorderFrames_);
    SetCut(aJson.value("cut", faults_.cut_));
    ForEachPipe([silence = aJson.value("freeze_existing", false)](Pipe& aPipe) {
      if (silence) {
        aPipe.Silence();
      }
      aPipe.Pump();
    });
  }

  Json Stats() const { return { { "connections", connections_ } }; }

private:
  void Open()
  {
    acceptor_.open(tcp::v4());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind({ asio::ip::address_v4::loopback(), options_.port_ });
    acceptor_.listen();
    options_.port_ = acceptor_.local_endpoint().port();
    Accept();
  }

  void Accept()
  {
    auto client = std::make_shared<tcp::socket>(io_);
    acceptor_.async_accept(*client, [this, client](ErrorCode aError) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        Connect(client);
      }
      Accept();
    });
  }

  void Connect(const std::shared_ptr<tcp::socket>& aClient)
  {
    ++connections_;
    auto server = std::make_shared<tcp::socket>(io_);
    server->async_connect(options_.target_,
                          [this, aClient, server](ErrorCode aError) {
                            if (!aError && !faults_.cut_) {
                              Join(aClient, server);
                            }
                          });
  }

  void Join(const std::shared_ptr<tcp::socket>& aClient,
            const std::shared_ptr<tcp::socket>& aServer)
  {
    aClient->set_option(tcp::no_delay(true));
    aServer->set_option(tcp::no_delay(true));
    std::erase_if(pipes_, [](const auto& aPipe) { return !aPipe->IsOpen(); });
    for (const bool toClient : { false, true }) {
      const auto pipe = std::make_shared<Pipe>(toClient ? aServer : aClient,
                                               toClient ? aClient : aServer,
                                               faults_,
                                               options_.framed_,
                                               toClient);
      pipes_.push_back(pipe);
      pipe->Pump();
    }
  }

  void SetCut(bool aCut)
  {
    if (aCut == faults_.cut_) {
      return;
    }
    faults_.cut_ = aCut;
    if (!aCut) {
      Open();
      return;
    }
    acceptor_.close();
    ForEachPipe([](Pipe& aPipe) { aPipe.Close(); });
  }

  template<class Function>
  void ForEachPipe(const Function& aFunction)
  {
    for (const auto& pipe : pipes_) {
      aFunction(*pipe);
    }
  }

  asio::io_context& io_;
  RouteOptions options_;
  tcp::acceptor acceptor_;
  Faults faults_;
  /// Shared with pending operations. Kept here too, because a paused connection
  /// has none.
  std::vector<std::shared_ptr<Pipe>> pipes_;
  uint64_t connections_ = 0;
};

/// All routes. Handle must be called on the io_context.
class Proxy
{
public:
  Proxy(asio::io_context& aIo, const std::vector<RouteOptions>& aRoutes)
  {
    for (const RouteOptions& options : aRoutes) {
      routes_.push_back(std::make_unique<Route>(aIo, options));
    }
  }

  void PrintPorts() const
  {
    for (size_t i = 0; i < routes_.size(); ++i) {
      std::cout << "route " << i << " listening " << routes_[i]->Port() << "\n";
    }
  }

  HttpResponse Handle(const HttpRequest& aRequest)
  {
    if (aRequest.path_ == "/control") {
      Control(Json::parse(aRequest.body_));
      return { .body_ = "{}" };
    }
    Json stats = Json::array();
    for (const auto& route : routes_) {
      stats.push_back(route->Stats());
    }
    return { .body_ = stats.dump() };
  }

private:
  void Control(const Json& aJson)
  {
    const Json& route = aJson.at("route");
    if (route.is_number()) {
      routes_.at(route.get<size_t>())->Apply(aJson);
      return;
    }
    for (const auto& each : routes_) {
      each->Apply(aJson);
    }
  }

  std::vector<std::unique_ptr<Route>> routes_;
};

/// Parses "<listen port>:<ipv4>:<target port>".
RouteOptions
ParseRoute(const std::string& aText, bool aFramed)
{
  const size_t first = aText.find(':');
  const size_t second = aText.rfind(':');
  if (first == std::string::npos || first == second) {
    throw std::invalid_argument(
      "a route must be <listen port>:<ip>:<target port>: " + aText);
  }
  const std::string host = aText.substr(first + 1, second - first - 1);
  const auto target = uint16_t(std::stoul(aText.substr(second + 1)));
  return { .port_ = uint16_t(std::stoul(aText.substr(0, first))),
           .target_ = { asio::ip::make_address(host), target },
           .framed_ = aFramed };
}

/// Handles a request on the io_context and waits for the response.
HttpResponse
HandleOn(asio::io_context& aIo, Proxy& aProxy, const HttpRequest& aRequest)
{
  std::packaged_task<HttpResponse()> task(
    [&] { return aProxy.Handle(aRequest); });
  auto result = task.get_future();
  asio::post(aIo, [&task] { task(); });
  try {
    return result.get();
  } catch (const std::exception& error) {
    return { .status_ = 400, .body_ = error.what() };
  }
}

void
Serve(const std::vector<RouteOptions>& aRoutes, uint16_t aPort)
{
  asio::io_context io;
  Proxy proxy(io, aRoutes);
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](ErrorCode, int) { io.stop(); });
  std::jthread thread([&io] { io.run(); });
  const HttpServer server(
    { .port_ = aPort },
    [&](const HttpRequest& aRequest, const HttpReply& aReply) {
      aReply.Send(HandleOn(io, proxy, aRequest));
    });
  proxy.PrintPorts();
  std::cout << "listening " << server.Port() << std::endl;
  thread.join();
}

} // namespace
} // namespace cornelfront

int
main(int argc, char** argv)
{
  CLI::App app("TCP proxy that injects faults");
  std::vector<std::string> texts;
  bool framed = false;
  uint16_t port = 0;
  app.add_option("--route", texts, "<listen port>:<ip>:<target port>")
    ->required();
  app.add_flag("--framed", framed, "the routes carry length-prefixed frames");
  app.add_option("--port", port, "port of /control; 0 picks a free one");
  CLI11_PARSE(app, argc, argv);
  std::vector<cornelfront::RouteOptions> routes;
  routes.reserve(texts.size());
  for (const std::string& text : texts) {
    routes.push_back(cornelfront::ParseRoute(text, framed));
  }
  cornelfront::Serve(routes, port);
  return 0;
}
