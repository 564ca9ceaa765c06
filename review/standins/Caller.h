#pragma once

#include "Base/Time.h"
#include "Config/NetworkAddress.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <string>

namespace Mangofall::Review {

class Record;

/// One attempt of a client.
struct Attempt {
    std::string id;
    std::string method = "POST";
    std::string path;
    std::string body;
    std::chrono::milliseconds deadline{0}; ///< The client leaves after this time.
    std::string tokenCounts; ///< Only for streams.
    std::string promptPrefix; ///< Only for streams.
};

/// What the client saw of an attempt.
struct Outcome {
    bool connected = false;
    bool keptConnection = false; ///< The connection had carried an earlier request.
    bool anyBytes = false; ///< Any byte of an answer arrived.
    bool complete = false;
    bool gaveUp = false; ///< The deadline passed and the client closed the connection.
    unsigned status = 0;
    std::string runnerSignature;
    std::string body;
    TimePoint sentAt;
    Duration took{}; ///< Until the answer was complete or the connection ended.
};

/**
 * \class Caller
 * \brief A client that keeps its connection to one host open for many requests.
 */
class Caller
{
public:
    Caller(boost::asio::io_context &io, NetworkAddress host, Record &record);

    boost::asio::awaitable<Outcome> send(Attempt attempt);

private:
    boost::asio::awaitable<bool> connect();
    boost::asio::awaitable<void> exchange(const Attempt &attempt, Outcome &outcome);

    boost::asio::io_context &m_io;
    NetworkAddress m_host;
    Record &m_record;
    std::unique_ptr<boost::beast::tcp_stream> m_stream;
};

}
