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
 * \brief Carries one attempt over one HTTP connection to its upstream and reports its tokens.
 */
class UpstreamExchange : public std::enable_shared_from_this<UpstreamExchange>
{
public:
    /// \p observer must outlive the run or be told cancel() first.
    UpstreamExchange(boost::asio::io_context &context,
                     std::shared_ptr<UpstreamConnectionPool> pool,
                     std::shared_ptr<const Wire::DispatchT> dispatch,
                     int enginePriority,
                     Duration timeLeft,
                     UpstreamExchangeObserver &observer);

    void start();

    /// Closes the connection; the observer hears nothing more.
    void cancel();

    void setPaused(bool paused);

    std::uint64_t connection() const;

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<Wire::StreamOutcome> readTokens();
    boost::asio::awaitable<Wire::StreamOutcome> readWhole();
    boost::asio::awaitable<void> waitWhilePaused();
    UpstreamCall::Request makeRequest() const;
    Wire::StreamOutcome outcomeOfStatus(unsigned status) const;
    /// False if the event has another format.
    bool handleEvent(const std::string &data);
    void reportData(std::uint32_t index, std::string_view data);

    std::shared_ptr<const Wire::DispatchT> m_dispatch;
    int m_enginePriority;
    UpstreamExchangeObserver *m_observer;
    UpstreamCall m_call;
    boost::asio::steady_timer m_pauseTimer;
    boost::asio::any_io_executor m_executor;
    SseParser m_events;
    UpstreamExchangeResult m_result;
    TimePoint m_sentAt;
    bool m_paused = false;
    bool m_cancelled = false;
    bool m_done = false;
};

}
