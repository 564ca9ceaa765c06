// Comes before the CppUTest headers, whose redefinition of new breaks the pcg header.
#include "Streams/SessionRegistry.h"

#include "Property.h"

#include <map>
#include <vector>

using namespace Mangofall;

namespace {

constexpr std::size_t tokenBytes = 100;

std::unique_ptr<StreamSession> detachedSession(const std::string &organisation, const std::string &id, RetryBudget &budget, RandomEngine &random)
{
    auto session
        = std::make_unique<StreamSession>(StreamRequest{RequestId(id), OrganisationId(organisation), true, TimePoint::max()}, StreamLimits(), budget, random);
    session->start(TimePoint{});
    session->handle(UpstreamChosen{1, UpstreamId("u"), {1, 1, 1}}, TimePoint{});
    session->handle(CallerLeft{true}, TimePoint{});
    session->handle(TokenReceived{{1, 1, 1}, 1, 0, std::string(tokenBytes, 'x')}, TimePoint{});
    return session;
}

}

TEST_GROUP(SessionRegistryTest){};

// Guards against sessions that are lost without being cancelled, returned twice, or kept beyond the limits.
TEST(SessionRegistryTest, EachSessionLeavesOnceAndLimitsHold)
{
    Testing::checkProperty("sessions are conserved", [](const std::vector<std::pair<std::uint8_t, bool>> &steps) {
        const RegistryLimits limits{std::chrono::seconds(10), 5 * tokenBytes, 8};
        SessionRegistry registry(limits);
        RetryBudget budget({});
        RandomEngine random(1);
        TimePoint now{};
        std::size_t detached = 0;
        std::size_t left = 0;
        for (const auto &[name, detaches] : steps) {
            const std::string id = std::to_string(name % 16);
            now += std::chrono::milliseconds(name * 4);
            if (detaches) {
                registry.detach(detachedSession("o", id, budget, random), now);
                ++detached;
            } else {
                RC_ASSERT(registry.attach(OrganisationId("other"), RequestId(id)) == nullptr);
                left += registry.attach(OrganisationId("o"), RequestId(id)) ? 1 : 0;
            }
            left += registry.expire(now).size();
            RC_ASSERT(registry.bufferedBytes() <= limits.maxBytes);
            RC_ASSERT(registry.size() + left == detached);
        }
        RC_ASSERT(registry.expire(now + limits.retentionTime).size() + left == detached);
    });
}

// Guards against a caller who reconnects and misses the tokens that arrived in the meantime.
TEST(SessionRegistryTest, ReturningCallerGetsWhatArrivedMeanwhile)
{
    SessionRegistry registry({});
    RetryBudget budget({});
    RandomEngine random(1);
    registry.detach(detachedSession("o", "r", budget, random), TimePoint{});
    registry.find(OrganisationId("o"), RequestId("r"))->handle(StreamCompleted{{1, 1, 1}, 1, 1}, TimePoint{});
    const auto session = registry.attach(OrganisationId("o"), RequestId("r"));
    const auto actions = session->handle(CallerReturned{0}, TimePoint{});
    LONGS_EQUAL(1, actions.size());
    LONGS_EQUAL(tokenBytes, std::get<Deliver>(actions.front()).text.size());
    CHECK(std::holds_alternative<Finish>(session->handle(CallerReady{}, TimePoint{}).front()));
}
