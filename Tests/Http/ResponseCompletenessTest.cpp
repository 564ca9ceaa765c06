#include "Http/ResponseCompleteness.h"

#include "Property.h"

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

using namespace Mangofall;

namespace BeastHttp = boost::beast::http;

TEST_GROUP(ResponseCompletenessTest){};

// Guards against accepting a response whose end is unknown, and against rejecting a whole one, for any status, framing, number of informational responses and
// result of the write.
TEST(ResponseCompletenessTest, AResponseIsCompleteOnlyIfItsEndIsKnown)
{
    Testing::checkProperty("a response is complete only if its end is known", [](bool writeFailed, bool endsWithConnection) {
        const auto informational = *rc::gen::inRange(0U, ResponseCompleteness::maxInformational + 2);
        const auto status = *rc::gen::inRange(0U, 1000U);
        ResponseCompleteness completeness;
        if (writeFailed) {
            completeness.requestWriteFailed();
        }
        boost::system::error_code error;
        for (unsigned number = 0; number < informational && !error; ++number) {
            error = completeness.headerReceived(103, false);
            RC_ASSERT(!completeness.hasFinalHeader());
        }
        if (!error) {
            error = completeness.headerReceived(status, endsWithConnection);
        }
        const bool isFinal = status >= 200 && status < 600 && informational <= ResponseCompleteness::maxInformational;
        RC_ASSERT(completeness.hasFinalHeader() == isFinal);
        RC_ASSERT(completeness.bodyEnded().failed() == (!isFinal || (writeFailed && endsWithConnection)));
        RC_ASSERT(completeness.allowsReuse() == (isFinal && !writeFailed && !endsWithConnection));
        RC_ASSERT(!error || isMalformedResponse(error));
    });
}

// Guards against blaming the upstream for bytes that are no HTTP when only its connection was lost: the two count differently for its health.
TEST(ResponseCompletenessTest, ALostConnectionIsNotAMalformedResponse)
{
    CHECK_FALSE(isMalformedResponse(ResponseError::EndUnknown));
    CHECK_FALSE(isMalformedResponse(BeastHttp::error::end_of_stream));
    CHECK_FALSE(isMalformedResponse(BeastHttp::error::partial_message));
    CHECK_FALSE(isMalformedResponse(boost::beast::error::timeout));
    CHECK(isMalformedResponse(BeastHttp::error::bad_version));
    CHECK(isMalformedResponse(ResponseError::InvalidStatus));
    CHECK(isMalformedResponse(ResponseError::UnrequestedUpgrade));
}
