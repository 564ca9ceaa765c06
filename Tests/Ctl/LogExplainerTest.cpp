#include "Ctl/LogExplainer.h"

#include "Property.h"

#include <sstream>

using namespace Mangofall;

namespace {

const char *const sampleLog = R"(noise
   1.2 a {"time_ms":1000,"host":"a","event":"sent","request":"r1","detail":"i-1 helpers=i-2","demand":"7"}
{"time_ms":900,"host":"a","event":"store_lost"}
{"time_ms":1100,"host":"a","event":"upstream_removed","upstream":"i-2"}
{"time_ms":1100,"host":"a","event":"upstream_removed","upstream":"i-9"}
{"time_ms":1150,"host":"b","event":"store_lost"}
{"time_ms":1005,"host":"b","event":"placement_queued","entry":"a","demand":"7"}
{"time_ms":1200,"host":"a","event":"refused","request":"r1","detail":"upstream_failed","demand":"7"}
{"time_ms":1200,"host":"a","event":"sent","request":"r2","detail":"i-1","demand":"8"}
{"time_ms":5000,"host":"a","event":"store_returned"}
{broken
)";

}

TEST_GROUP(LogExplainerTest){};

// Guards against output that misses lines of other hosts, or contains lines of other requests.
TEST(LogExplainerTest, FollowsARequestAcrossHosts)
{
    LogExplainer explainer("r1");
    std::istringstream input(sampleLog);
    explainer.read(input);
    std::ostringstream output;
    CHECK(explainer.print(output));
    STRCMP_EQUAL("-100 ms a store_lost\n"
                 "+0 ms a sent demand=7 detail=i-1 helpers=i-2\n"
                 "+5 ms b placement_queued demand=7 entry=a\n"
                 "+100 ms a upstream_removed upstream=i-2\n"
                 "+200 ms a refused demand=7 detail=upstream_failed\n"
                 "outcome: refused upstream_failed on a\n",
                 output.str().c_str());
}

// Guards against empty output or success if no line names the request.
TEST(LogExplainerTest, ReportsRequestWithoutLogLines)
{
    LogExplainer explainer("r9");
    std::istringstream input(sampleLog);
    explainer.read(input);
    std::ostringstream output;
    CHECK_FALSE(explainer.print(output));
    CHECK(output.str().find("r9") != std::string::npos);
}
