// CppUTest redefines new, which clang rejects in this header.
#include <variant>

#include "Property.h"

#include "Membership/PauseDetector.h"

using namespace Mangofall;
using namespace Mangofall::Membership;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(PauseDetectorTest){};

// Guards against dispatch between a pause and the renewal of the view, for any order of events.
TEST(PauseDetectorTest, NoDispatchBetweenPauseAndRenewal)
{
    Testing::checkProperty("dispatch stops at a late tick and resumes only after a renewal", [] {
        PauseDetector detector(seconds(3));
        TimePoint now{seconds(100)};
        detector.handle(PauseTick(), now);
        bool paused = false;
        for (int step = 0; step < 40; ++step) {
            const milliseconds gap(*rc::gen::element(100, 100, 2900, 3001, 60'000));
            const bool renewed = *rc::gen::arbitrary<bool>();
            now += gap;
            RC_ASSERT(detector.mayDispatch(now) == (!paused && gap <= seconds(3)));
            const auto actions = detector.handle(renewed ? PauseEvent(MembershipRenewed()) : PauseEvent(PauseTick()), now);
            const bool late = gap > seconds(3);
            RC_ASSERT(actions.size() == (late ? 2U : (paused && renewed ? 1U : 0U)));
            paused = late || (paused && !renewed);
            RC_ASSERT(detector.mayDispatch(now) == !paused);
        }
    });
}
