#pragma once

#include "Base/Time.h"
#include "Daemon/UpstreamExchangeObserver.h"
#include "Http/SseParser.h"
#include "Http/UpstreamCall.h"
#include "Peer/PeerMessages_generated.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace Mangofall {

/**
 * \class UpstreamExchange
 * \brief One HTTP exchange of an attempt with its upstream: sends the request and reports the answer to an observer.
 */
class UpstreamExchange : public std::enable_shared_from_this<UpstreamExchange>
{
public:
    /// \p observer must outlive the exchange, or cancel() must be called before it is destroyed.
    UpstreamExchange(boost::asio::io_context &context,
                     std::shared_ptr<UpstreamConnectionPool> pool,
                     std::shared_ptr<const Wire::DispatchT> dispatch,
                     int enginePriority,
                     TimePoint deadline,
                     UpstreamExchangeObserver &observer);

    void start();

    /// Closes the connection; the observer is not called any more.
    void cancel();

    /// Pauses or continues reading a token stream.
    void setPaused(bool paused);

    /// Connection number from the dispatch message.
    std::uint64_t connection() const;

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<Wire::StreamOutcome> readTokenStream();
    boost::asio::awaitable<Wire::StreamOutcome> readWholeBody();
    boost::asio::awaitable<void> waitWhilePaused();
    UpstreamCall::Request makeRequest() const;
    Wire::StreamOutcome outcomeOfStatus(unsigned status) const;
    /// Returns false if the event is malformed.
    bool handleEvent(const std::string &data);
    void reportData(std::uint32_t index, std::string_view data);

    std::shared_ptr<const Wire::DispatchT> m_dispatch;
    int m_enginePriority;
    UpstreamExchangeObserver *m_observer;
    UpstreamCall m_call;
    boost::asio::steady_timer m_pauseTimer;
    boost::asio::any_io_executor m_executor;
    SseParser m_eventParser;
    UpstreamExchangeResult m_result;
    TimePoint m_sentAt;
    bool m_paused = false;
    bool m_cancelled = false;
    bool m_doneReceived = false;
};

}
