#include "StartAdmission.h"

#include "Property.h"

using namespace Mangofall;
using namespace Mangofall::Platform;
using std::chrono::milliseconds;

namespace {

const TimePoint start = TimePoint(std::chrono::seconds(1000));

StartAdmission admission(bool rejoinsAtOnce = true)
{
    StartAdmission result(rejoinsAtOnce);
    result.configurationRead(start);
    return result;
}

}

TEST_GROUP(StartAdmissionTest){};

// Guards against a fleet that waits for its members to register although the store still knows them.
TEST(StartAdmissionTest, AHostThatFindsItsFormerFleetAdmitsAtOnce)
{
    StartAdmission host = admission();
    host.formerHostsRead(true, 64);
    CHECK(host.admits(true, start));
    // Requests that are admitted earlier would find no upstreams.
    CHECK_FALSE(host.admits(false, start));
}

// Guards against hosts of a fleet that starts for the first time, each of which acts as the owner of all services because it has read few entries.
TEST(StartAdmissionTest, AHostThatDoesNotKnowTheFleetWaitsForOthers)
{
    for (const auto &[rejoins, ownEntry, others] : {std::tuple(true, false, 40), std::tuple(true, true, 1), std::tuple(false, true, 64)}) {
        StartAdmission host = admission(rejoins);
        host.formerHostsRead(ownEntry, static_cast<std::size_t>(others));
        CHECK_FALSE(host.admits(true, start));
        host.registered(start + milliseconds(50));
        CHECK_FALSE(host.admits(true, start + milliseconds(249)));
        CHECK(host.admits(true, start + milliseconds(250)));
    }
}

// Guards against a host that refuses all requests because it cannot register, and against one that admits requests without a configuration.
TEST(StartAdmissionTest, AHostThatCannotRegisterAdmitsAfterASecond)
{
    const StartAdmission host = admission();
    CHECK_FALSE(host.admits(true, start + milliseconds(999)));
    CHECK(host.admits(true, start + milliseconds(1000)));
    StartAdmission unconfigured(true);
    unconfigured.formerHostsRead(true, 64);
    CHECK_FALSE(unconfigured.admits(true, start + milliseconds(5000)));
}
