#include "Feed/StoreMirror.h"

#include "Feed/HostLister.h"
#include "Feed/ItemSource.h"
#include "Feed/PeerSources.h"
#include "Telemetry/EventLog.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <exception>
#include <string>

namespace Mangofall::Feed {

namespace {

namespace Asio = boost::asio;
using Clock = std::chrono::steady_clock;

// The next call may change while this host sleeps, when the list of hosts does.
constexpr std::chrono::milliseconds maxSleep{100};
// An unexpected error, for example for want of memory, must not end the mirror: the host would serve with a view that is never renewed.
constexpr std::chrono::milliseconds errorPause{200};

}

StoreMirror::StoreMirror(Asio::io_context &io, Sources sources, MirrorState &state, EventLog &log)
    : m_io(io)
    , m_sources(sources)
    , m_state(state)
    , m_log(log)
{
}

Asio::awaitable<void> StoreMirror::run()
{
    while (true) {
        std::string problem;
        try {
            co_await step();
        } catch (const std::exception &error) {
            problem = error.what();
        }
        if (!problem.empty()) {
            m_log.write("feed_error", {{"problem", problem}});
            co_await sleep(errorPause);
        }
    }
}

Asio::awaitable<void> StoreMirror::step()
{
    if (m_state.listingDue(Clock::now())) {
        const bool listed = co_await m_sources.lister.listHosts();
        m_state.hostsListed(listed, Clock::now());
    }
    const TimePoint now = Clock::now();
    const MirrorCall next = m_state.next(now);
    if (next.at > now) {
        co_await sleep(std::min<Duration>(next.at - now, maxSleep));
        co_return;
    }
    const ItemPage page = co_await call(next);
    m_state.handleAnswer(next, page, Clock::now());
}

Asio::awaitable<ItemPage> StoreMirror::call(const MirrorCall &call)
{
    ItemSource &source = call.source.isStore() ? m_sources.store : m_sources.peers.peer(call.source.host);
    ItemPage page;
    if (call.page) {
        page = co_await source.readPage(call.era, call.afterKey);
    } else {
        page = co_await source.watch(call.era, call.afterRevision, call.wait);
    }
    co_return page;
}

Asio::awaitable<void> StoreMirror::sleep(Duration time)
{
    Asio::steady_timer timer(m_io, time);
    co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
}

}
