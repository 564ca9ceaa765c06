#pragma once

#include "Base/Time.h"
#include "Feed/MirrorState.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace Mangofall::Feed {

class HostLister;
class ItemSource;
class PeerSources;

/**
 * \class StoreMirror
 * \brief Makes the calls that a MirrorState decides on, one after the other.
 */
class StoreMirror
{
public:
    struct Sources {
        ItemSource &store;
        PeerSources &peers;
        HostLister &lister;
    };

    /// All arguments must outlive the mirror.
    StoreMirror(boost::asio::io_context &io, Sources sources, MirrorState &state, EventLog &log);

    /// Runs until the io_context stops.
    boost::asio::awaitable<void> run();

private:
    /// Makes the next call, or sleeps until it is due.
    boost::asio::awaitable<void> step();
    boost::asio::awaitable<ItemPage> call(const MirrorCall &call);
    boost::asio::awaitable<void> sleep(Duration time);

    boost::asio::io_context &m_io;
    Sources m_sources;
    MirrorState &m_state;
    EventLog &m_log;
};

}
