#pragma once

/// \file
/// HTTP server for tests of clients: it takes a request, may carry it out, and
/// may then close the connection in place of an answer.

#include "cornelfront/clock.h"
#include "cornelfront/http_server.h"

#include <asio.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cornelfront {

/// Serves on the thread of the event loop, which must outlive it.
class DroppingServer
{
public:
  /// What becomes of one request.
  enum class Fate : uint8_t
  {
    /// Carried out and answered with 200.
    Answered,
    /// Carried out; the connection closes without an answer.
    AnswerLost,
    /// As AnswerLost; all connections close, and nothing listens any more.
    Gone,
    /// Not carried out; the connection closes without an answer.
    RequestLost,
    /// Carried out; the connection stays open without an answer.
    Silent,
  };

  /// Bytes that answer a request, which is carried out.
  struct Raw
  {
    std::string bytes_;
    /// The connection closes behind them.
    bool close_ = true;
  };

  /// A status is answered without carrying the request out.
  using Step = std::variant<Fate, int, Raw>;

  struct Options
  {
    /// Body of every answer.
    std::string body_ = "{}";
    /// The fates of the first requests, in order of their arrival.
    std::deque<Step> steps_;
    /// What becomes of all later ones.
    Step then_ = Fate::Answered;
  };

  DroppingServer(asio::io_context& aLoop, Options aOptions)
    : options_(std::move(aOptions))
    , acceptor_(aLoop, { asio::ip::address_v4::loopback(), 0 })
    , port_(acceptor_.local_endpoint().port())
  {
    Accept();
  }

  uint16_t Port() const { return port_; }
  std::string Url(const std::string& aPath) const
  {
    return "http://127.0.0.1:" + std::to_string(port_) + aPath;
  }

  /// Heads and bodies of the requests that arrived, and were carried out.
  const std::vector<std::string>& Arrived() const { return arrived_; }
  const std::vector<std::string>& CarriedOut() const { return carriedOut_; }
  /// Connections that were accepted.
  int Connections() const { return accepted_; }

  void AddSteps(const std::vector<Step>& aSteps)
  {
    options_.steps_.insert(options_.steps_.end(), aSteps.begin(), aSteps.end());
  }

  void CloseConnections()
  {
    for (const auto& weak : connections_) {
      if (const ConnectionPtr connection = weak.lock()) {
        connection->socket_.close();
      }
    }
  }

  /// Sends bytes on all connections that are open.
  void SendUnasked(const std::string& aBytes)
  {
    for (const auto& weak : connections_) {
      const ConnectionPtr connection = weak.lock();
      if (connection && connection->socket_.is_open()) {
        asio::error_code ignored;
        asio::write(connection->socket_, asio::buffer(aBytes), ignored);
      }
    }
  }

  /// Closes the sending half of all connections.
  void HalfCloseConnections()
  {
    for (const auto& weak : connections_) {
      if (const ConnectionPtr connection = weak.lock()) {
        asio::error_code ignored;
        connection->socket_.shutdown(asio::ip::tcp::socket::shutdown_send,
                                     ignored);
      }
    }
  }

private:
  struct Connection
  {
    explicit Connection(asio::ip::tcp::socket aSocket)
      : socket_(std::move(aSocket))
    {
    }

    asio::ip::tcp::socket socket_;
    std::string received_;
    std::string answer_;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Accept()
  {
    acceptor_.async_accept(
      [this](const asio::error_code& aError, asio::ip::tcp::socket aSocket) {
        if (aError) {
          return;
        }
        ++accepted_;
        auto connection = std::make_shared<Connection>(std::move(aSocket));
        connections_.push_back(connection);
        Receive(connection);
        Accept();
      });
  }

  void Receive(const ConnectionPtr& aConnection)
  {
    asio::async_read_until(
      aConnection->socket_,
      asio::dynamic_buffer(aConnection->received_),
      "\r\n\r\n",
      [this, aConnection](const asio::error_code& aError, size_t aHead) {
        if (!aError) {
          ReceiveBody(aConnection, aHead);
        }
      });
  }

  void ReceiveBody(const ConnectionPtr& aConnection, size_t aHead)
  {
    constexpr std::string_view kLength = "Content-Length: ";
    const std::string& received = aConnection->received_;
    const size_t at = received.find(kLength);
    const size_t body =
      at < aHead ? std::stoul(received.substr(at + kLength.size())) : 0;
    const size_t missing =
      aHead + body - std::min(aHead + body, received.size());
    asio::async_read(
      aConnection->socket_,
      asio::dynamic_buffer(aConnection->received_),
      asio::transfer_exactly(missing),
      [this, aConnection](const asio::error_code& aError, size_t) {
        if (!aError) {
          Handle(aConnection, std::exchange(aConnection->received_, {}));
        }
      });
  }

  void Handle(const ConnectionPtr& aConnection, const std::string& aRequest)
  {
    arrived_.push_back(aRequest);
    Step step = options_.then_;
    if (!options_.steps_.empty()) {
      step = options_.steps_.front();
      options_.steps_.pop_front();
    }
    if (const int* status = std::get_if<int>(&step)) {
      Answer(aConnection, *status);
      return;
    }
    if (const Raw* raw = std::get_if<Raw>(&step)) {
      carriedOut_.push_back(aRequest);
      Write(aConnection, raw->bytes_, raw->close_);
      return;
    }
    const Fate fate = std::get<Fate>(step);
    if (fate != Fate::RequestLost) {
      carriedOut_.push_back(aRequest);
    }
    if (fate == Fate::Answered) {
      Answer(aConnection, kOk);
      return;
    }
    if (fate == Fate::Silent) {
      Receive(aConnection);
      return;
    }
    if (fate == Fate::Gone) {
      acceptor_.close();
      CloseConnections();
    }
    aConnection->socket_.close();
  }

  void Answer(const ConnectionPtr& aConnection, int aStatus)
  {
    Write(aConnection,
          "HTTP/1.1 " + std::to_string(aStatus) +
            " Status\r\nContent-Length: " +
            std::to_string(options_.body_.size()) + "\r\n\r\n" + options_.body_,
          false);
  }

  void Write(const ConnectionPtr& aConnection, std::string aBytes, bool aClose)
  {
    aConnection->answer_ = std::move(aBytes);
    asio::async_write(
      aConnection->socket_,
      asio::buffer(aConnection->answer_),
      [this, aConnection, aClose](const asio::error_code& aError, size_t) {
        if (aClose) {
          aConnection->socket_.close();
        } else if (!aError) {
          Receive(aConnection);
        }
      });
  }

  static constexpr int kOk = 200;

  Options options_;
  asio::ip::tcp::acceptor acceptor_;
  const uint16_t port_;
  int accepted_ = 0;
  std::vector<std::weak_ptr<Connection>> connections_;
  std::vector<std::string> arrived_;
  std::vector<std::string> carriedOut_;
};

} // namespace cornelfront
