#pragma once

#include "Base/Time.h"
#include "Soak/LoopbackServer.h"
#include "Soak/SoakStore.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Mangofall::Review {

class Record;

/// What a runner registers of itself.
struct RunnerEntry {
    std::string id;
    std::string service;
    std::string zone;
    unsigned slots = 0;
};

/// How long the sound runner takes.
struct RunnerTimes {
    std::chrono::milliseconds processing{60}; ///< Of a plain request.
    std::chrono::milliseconds firstEvent{300};
    std::chrono::milliseconds eventInterval{50};
    unsigned events = 20;
};

/**
 * \class Runner
 * \brief Stand-in for a runner that follows the users' pages. Subclasses replace what is to go wrong.
 */
class Runner
{
public:
    using Request = Soak::SoakStore::Request;
    using SocketPointer = std::shared_ptr<Soak::Socket>;

    /// A request that reached the runner.
    struct Arrival {
        std::string attempt;
        TimePoint time;
        bool executed = false;
    };

    Runner(boost::asio::io_context &io, RunnerEntry entry, const RunnerTimes &times, Soak::SoakStore &store, Record &record);
    virtual ~Runner();
    Runner(const Runner &) = delete;
    Runner &operator=(const Runner &) = delete;

    /// Writes the entry into the store.
    void publish(const char *state, std::chrono::milliseconds coldTime = std::chrono::milliseconds(0));

    /// Ends like a process: its connections are reset, and new ones are refused.
    void exit();

    const RunnerEntry &entry() const;
    std::string address() const;
    const std::vector<Arrival> &arrivals() const;
    /// Whether this runner began to work on the request.
    bool executed(const std::string &attempt) const;

protected:
    /// Answers a request that this runner executes; returns whether the connection can carry another one.
    virtual boost::asio::awaitable<bool> execute(SocketPointer socket, const Request &request);
    /// Answers an order to reserve or release memory; returns whether the connection can carry another request.
    virtual boost::asio::awaitable<bool> order(SocketPointer socket, const Request &request);

    boost::asio::awaitable<bool> write(SocketPointer socket, std::string bytes);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);
    Record &record();
    const RunnerTimes &times() const;

private:
    boost::asio::awaitable<void> serve(SocketPointer socket);
    boost::asio::awaitable<bool> answer(SocketPointer socket, const Request &request);
    boost::asio::awaitable<bool> sendStream(SocketPointer socket, const Request &request);

    boost::asio::io_context &m_io;
    RunnerEntry m_entry;
    RunnerTimes m_times;
    Soak::SoakStore &m_store;
    Record &m_record;
    std::vector<Arrival> m_arrivals;
    unsigned m_running = 0;
    unsigned m_sequence = 0;
    Soak::LoopbackServer m_server;
};

/// Value of a header field; empty if absent.
std::string field(const Runner::Request &request, std::string_view name);

/// \p data as one chunk of a chunked answer.
std::string chunk(const std::string &data);

/// Start of an answer to \p request by a runner that has executed it, without its last empty line.
std::string answerHead(const Runner::Request &request, unsigned status);

}
