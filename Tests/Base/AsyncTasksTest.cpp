#include "Base/AsyncTasks.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>

#include "Property.h"

#include <stdexcept>
#include <string>
#include <vector>

using namespace Mangofall;

namespace {

namespace Asio = boost::asio;

Asio::awaitable<void> fail()
{
    throw std::runtime_error("task");
    co_return;
}

struct Reports {
    std::vector<std::string> problems;

    ErrorReport handler()
    {
        return [this](const char *problem) {
            problems.emplace_back(problem);
        };
    }
};

}

TEST_GROUP(AsyncTasksTest){};

// Guards against an exception of one handler or coroutine that ends the process, or the handlers after it, or that nobody hears of.
TEST(AsyncTasksTest, AnExceptionIsReportedAndEndsNothingElse)
{
    Asio::io_context io(1);
    Reports reports;
    bool later = false;
    Asio::post(io, []() {
        throw std::runtime_error("handler");
    });
    Asio::co_spawn(io, fail(), reportErrors);
    Asio::post(io, []() {
        throw 7;
    });
    Asio::post(io, [&later]() {
        later = true;
    });
    runReportingErrors(io, reports.handler());
    CHECK(later);
    LONGS_EQUAL(3, reports.problems.size());
    STRCMP_EQUAL("handler", reports.problems.front().c_str());
}

// Guards against a loop, such as the registration of a host, that stands still for good after one exception.
TEST(AsyncTasksTest, ALoopIsBegunAnewAfterAnException)
{
    Asio::io_context io(1);
    Reports reports;
    int runs = 0;
    const auto makeTask = [&runs]() -> Asio::awaitable<void> {
        if (++runs < 3) {
            throw std::runtime_error("loop");
        }
        co_return;
    };
    Asio::co_spawn(io, repeatAfterErrors(makeTask, reports.handler()), reportErrors);
    runReportingErrors(io, reports.handler());
    LONGS_EQUAL(3, runs);
    LONGS_EQUAL(2, reports.problems.size());
}
