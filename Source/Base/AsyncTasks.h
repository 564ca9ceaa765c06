#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <functional>

namespace Mangofall {

/**
 * \class ReportErrors
 * \brief Completion handler for coroutines that nobody awaits: an exception that ends one leaves io_context::run(), where runReportingErrors() passes it on.
 *
 * boost::asio::detached would drop the exception, so that the task would stop without a trace.
 */
struct ReportErrors {
    void operator()(const std::exception_ptr &error) const
    {
        if (error) {
            std::rethrow_exception(error);
        }
    }
};

inline constexpr ReportErrors reportErrors;

/// Receives the text of an exception.
using ErrorReport = std::function<void(const char *problem)>;

/// Runs \p io until it is stopped or has no work left. What a handler throws is passed to \p report and does not end the others.
void runReportingErrors(boost::asio::io_context &io, const ErrorReport &report);

/// Runs the task that \p makeTask returns until it ends without an exception. One that throws is reported and begun anew after a short pause.
boost::asio::awaitable<void> repeatAfterErrors(std::function<boost::asio::awaitable<void>()> makeTask, ErrorReport report);

}
