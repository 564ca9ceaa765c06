#include "Base/AsyncTasks.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>

namespace Mangofall {

namespace {

namespace Asio = boost::asio;

constexpr std::chrono::milliseconds errorPause{200};

}

void runReportingErrors(Asio::io_context &io, const ErrorReport &report)
{
    bool ended = false;
    while (!ended) {
        try {
            io.run();
            ended = true;
        } catch (const std::exception &error) {
            report(error.what());
        } catch (...) {
            report("an exception of an unknown type");
        }
    }
}

Asio::awaitable<void> repeatAfterErrors(std::function<Asio::awaitable<void>()> makeTask, ErrorReport report)
{
    Asio::steady_timer timer(co_await Asio::this_coro::executor);
    bool ended = false;
    while (!ended) {
        try {
            co_await makeTask();
            ended = true;
        } catch (const std::exception &error) {
            report(error.what());
        }
        if (!ended) {
            timer.expires_after(errorPause);
            co_await timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
        }
    }
}

}
