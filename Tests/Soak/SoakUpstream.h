#pragma once

#include "Base/Time.h"
#include "Soak/LoopbackServer.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Mangofall::Soak {

class FaultProxy;
class RunLedger;
class SoakStore;

/// What an upstream does instead of running requests and answering them.
enum class UpstreamFault {
    None,
    Refusing, ///< Refuses with a header field that proves that the request did not run.
    Unresponsive, ///< Runs requests, never answers, and closes the connection later.
    Failing, ///< Runs requests and answers with status 500.
    Spoiling, ///< Breaks off each stream with bytes that are no event, in one piece with an event before them.
};

/**
 * \class SoakUpstream
 * \brief Stand-in for an upstream of the platform: registers in the store, answers requests with a body or an event stream, and checks what hosts send.
 */
class SoakUpstream
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    SoakUpstream(boost::asio::io_context &io, std::string name, std::string service, std::string dataCentre, SoakStore &store, RunLedger &ledger);
    ~SoakUpstream();

    /// \p onCrash is called when a request crashes this upstream.
    void setCrashHandler(std::function<void()> onCrash);
    void setFault(UpstreamFault fault);
    void setLinkFault(bool silent);
    /// Resets all connections, refuses new ones, and comes back under another id after \p downTime.
    void crash(std::chrono::milliseconds downTime);
    /// Announces that it leaves, serves for some time, then crashes and comes back under another id.
    void drain();
    /// The same without an announcement: its entry is removed at once.
    void leaveWithoutNotice();
    /// Writes its entry again, as a heartbeat does.
    void relist();
    /// The id under which it is listed.
    const std::string &id() const;
    /// Whether it accepts requests, is not draining and has no fault.
    bool isHealthy() const;

private:
    boost::asio::awaitable<void> serve(std::shared_ptr<Socket> socket);
    /// Answers one request; returns false if the connection is to be closed.
    boost::asio::awaitable<bool> answer(std::shared_ptr<Socket> socket, const Request &request);
    boost::asio::awaitable<bool> sendStream(std::shared_ptr<Socket> socket, const Request &request);
    boost::asio::awaitable<bool> respond(std::shared_ptr<Socket> socket, const Request &request, unsigned status, bool executed);
    void checkRequest(const Request &request);
    /// Checks that all hosts together keep the rate while this upstream is cold.
    void checkColdRate();
    void publish(bool leaving);
    void leave();
    void scheduleRestart(std::chrono::milliseconds time);

    boost::asio::io_context &m_io;
    std::string m_name;
    std::string m_service;
    std::string m_dataCentre;
    SoakStore &m_store;
    RunLedger &m_ledger;
    std::function<void()> m_onCrash;
    std::string m_id;
    std::uint32_t m_restarts = 0;
    std::uint64_t m_sequence = 0; ///< Of the entries that were published.
    std::shared_ptr<unsigned> m_running = std::make_shared<unsigned>(0); ///< Requests in progress.
    TimePoint m_coldUntil;
    std::deque<TimePoint> m_coldArrivals; ///< Of the last second.
    bool m_alive = true;
    bool m_leaving = false;
    bool m_announces = true; ///< Whether it says that it leaves, if it does.
    std::optional<TimePoint> m_leavingSince;
    UpstreamFault m_fault = UpstreamFault::None;
    unsigned m_failures = 0; ///< Answers of the fault Failing.
    LoopbackServer m_server;
    std::unique_ptr<FaultProxy> m_proxy;
};

/// The body of an answer to \p attempt that is no event stream.
std::string completeBody(const std::string &attempt);
/// The data of event \p number of the stream that answers \p attempt.
std::string eventData(const std::string &attempt, std::uint64_t number);

}
