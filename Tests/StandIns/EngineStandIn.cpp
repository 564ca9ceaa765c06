#include "StandIns/EngineServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <tclap/CmdLine.h>

#include <iostream>
#include <memory>
#include <vector>

using namespace Mangofall;
using namespace Mangofall::StandIns;

namespace {

constexpr std::chrono::milliseconds tickInterval{1};

boost::asio::awaitable<void> tick(std::vector<std::unique_ptr<EngineServer>> &engines, boost::asio::steady_timer &timer)
{
    for (;;) {
        timer.expires_after(tickInterval);
        co_await timer.async_wait(boost::asio::use_awaitable);
        for (const auto &engine : engines) {
            engine->advance();
        }
    }
}

Duration milliseconds(std::int64_t count)
{
    return std::chrono::milliseconds(count);
}

}

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine line("Simulated model engines on 127.0.0.1; times and rates are engine time unless stated.");
        TCLAP::MultiArg<std::uint16_t> ports("p", "port", "port of one engine, 0 for any; repeat for more engines", true, "port", line);
        TCLAP::ValueArg<double> timeScale("", "time-scale", "engine seconds per real second", false, 1, "factor", line);
        TCLAP::ValueArg<double> prefillRate("", "prefill-rate", "prompt tokens per second", false, EngineOptions().prefillRate, "tokens/s", line);
        TCLAP::ValueArg<double> decodeRate("", "decode-rate", "generated tokens per second and attempt", false, EngineOptions().decodeRate, "tokens/s", line);
        TCLAP::ValueArg<std::size_t> slots("", "slots", "attempts in the batch", false, EngineOptions().slots, "count", line);
        TCLAP::ValueArg<std::size_t> queueLimit(
            "", "queue-limit", "attempts that can wait before the engine refuses further ones", false, EngineOptions().queueLimit, "count", line);
        TCLAP::ValueArg<std::uint64_t> memory("", "memory-tokens", "size of the KV memory", false, EngineOptions().memoryTokens, "tokens", line);
        TCLAP::ValueArg<std::size_t> coldRequests(
            "", "cold-requests", "concurrent requests above which a cold engine crashes", false, EngineOptions().coldRequests, "count", line);
        TCLAP::ValueArg<std::uint64_t> coldTokens(
            "", "cold-prefill-tokens", "concurrent prompt tokens above which a cold engine crashes, 0 for no limit", false, 0, "tokens", line);
        TCLAP::ValueArg<std::int64_t> restart("", "restart-ms", "time without service after a crash", false, 2000, "ms", line);
        TCLAP::ValueArg<std::int64_t> hold("", "hold-ms", "time for which an ended attempt stays resumable", false, 30'000, "ms", line);
        TCLAP::ValueArg<std::int64_t> loadLag("", "load-lag-ms", "minimum age of load reports", false, 500, "ms", line);
        TCLAP::ValueArg<std::int64_t> eventDelay("", "event-delay-ms", "age at which cache events become visible", false, 500, "ms", line);
        TCLAP::ValueArg<double> gapShare("", "event-gap-share", "share of cache events lost", false, 0, "share", line);
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed for the choice of lost cache events", false, 1, "number", line);
        TCLAP::SwitchArg poison("", "poison", "crash on a prompt that contains \"crash-me\"", line);
        TCLAP::SwitchArg fencing("", "check-fencing", "reject commands with a stale fencing token", line);
        TCLAP::SwitchArg noContinuation("", "no-continuation", "resume only attempts that this engine holds", line);
        line.parse(argc, argv);

        EngineOptions options;
        options.timeScale = timeScale.getValue();
        options.prefillRate = prefillRate.getValue();
        options.decodeRate = decodeRate.getValue();
        options.slots = slots.getValue();
        options.queueLimit = queueLimit.getValue();
        options.memoryTokens = memory.getValue();
        options.coldRequests = coldRequests.getValue();
        options.coldPrefillTokens = coldTokens.getValue();
        options.restartTime = milliseconds(restart.getValue());
        options.retentionTime = milliseconds(hold.getValue());
        options.loadLag = milliseconds(loadLag.getValue());
        options.eventDelay = milliseconds(eventDelay.getValue());
        options.eventGapShare = gapShare.getValue();
        options.poison = poison.getValue();
        options.checksFencing = fencing.getValue();
        options.acceptsContinuation = !noContinuation.getValue();

        boost::asio::io_context context(1);
        std::vector<std::unique_ptr<EngineServer>> engines;
        for (const std::uint16_t port : ports.getValue()) {
            options.seed = seed.getValue() + engines.size();
            engines.push_back(std::make_unique<EngineServer>(context, port, options));
            engines.back()->start();
            std::cout << engines.back()->port() << std::endl;
        }
        boost::asio::steady_timer timer(context);
        boost::asio::co_spawn(context, tick(engines, timer), boost::asio::detached);
        context.run();
    } catch (const TCLAP::ArgException &error) {
        std::cerr << "engine-stand-in: " << error.argId() << ": " << error.error() << '\n';
        return 2;
    } catch (const std::exception &error) {
        std::cerr << "engine-stand-in: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
