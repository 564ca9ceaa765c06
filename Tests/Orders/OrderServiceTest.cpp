#include "Orders/OrderService.h"
#include "Orders/OrderLedgerShard.h"
#include "Orders/SingleClaimLedger.h"

#include <map>

// CppUTest redefines new, which the headers above use.
#include "Property.h"

using namespace Mangofall;
using namespace Mangofall::Orders;

namespace {

using std::chrono::seconds;

// A service with a store that answers at once while it is available.
struct Fixture {
    explicit Fixture(std::unique_ptr<OrderLedger> ledger)
        : service(std::move(ledger), AttemptId{1, 1, 0}, OrderLimits())
    {
    }

    OrderActions run(OrderActions actions)
    {
        OrderActions remaining;
        for (std::size_t i = 0; i < actions.size(); ++i) {
            StoreAnswered answer;
            if (const auto *read = std::get_if<ReadKey>(&actions[i])) {
                const auto &[version, value] = store[read->key];
                answer = {read->call, version == 0 ? StoreStatus::NotFound : StoreStatus::Ok, version, value};
            } else if (const auto *write = std::get_if<WriteKey>(&actions[i])) {
                auto &[version, value] = store[write->key];
                answer = {write->call, version == write->expected ? StoreStatus::Ok : StoreStatus::Conflict, version + 1, {}};
                if (storeUp && version == write->expected) {
                    ++version;
                    value = write->value;
                }
            } else {
                remaining.push_back(actions[i]);
                continue;
            }
            if (!storeUp) {
                answer.status = StoreStatus::NoAnswer;
            }
            const OrderActions more = service.handle(answer, now);
            actions.insert(actions.end(), more.begin(), more.end());
        }
        return remaining;
    }

    OrderActions request(const char *caller, const char *body = "body")
    {
        return run(service.handle(OrderRequest{RequestId(caller),
                                               OrderKey("key"),
                                               body,
                                               OrganisationId("org"),
                                               ServiceId("orders"),
                                               UpstreamId("runner"),
                                               hasStatusCall,
                                               false,
                                               now + seconds(10),
                                               WallTime(std::chrono::milliseconds(7))},
                                  now));
    }

    OrderActions tick(Duration step)
    {
        now += step;
        return run(service.handle(OrderTick(), now));
    }

    TimePoint now{seconds(1)};
    std::map<std::string, std::pair<StoreVersion, std::string>> store;
    bool storeUp = true;
    bool hasStatusCall = true;
    OrderService service;
};

template<class Action>
const Action *findAction(const OrderActions &actions)
{
    for (const OrderAction &action : actions) {
        if (const auto *found = std::get_if<Action>(&action)) {
            return found;
        }
    }
    return nullptr;
}

std::unique_ptr<OrderLedger> makeLedger(bool singleClaims)
{
    if (singleClaims) {
        return std::make_unique<SingleClaimLedger>(OrderLimits());
    }
    return std::make_unique<OrderLedgerShard>("head", "a/1", OrderLimits());
}

OrderOutcome outcomeOf(const std::string &body)
{
    return {201, "text/plain", body, {}, false};
}

}

TEST_GROUP(OrderServiceTest){};

// Guards against a retry that runs the order again, and against a key reused with another body that gets the outcome of the
// first order. Both ledgers are tested.
TEST(OrderServiceTest, RetriesGetTheRecordedOutcome)
{
    for (const bool singleClaims : {true, false}) {
        Fixture fixture(makeLedger(singleClaims));
        fixture.run(fixture.service.handle(BecomeOwner(), fixture.now));
        const OrderActions first = fixture.request("first");
        const auto *send = findAction<SendOrder>(first);
        CHECK(send != nullptr);
        const OrderActions second = fixture.request("second");
        CHECK(findAction<AnswerCaller>(second)->error == ErrorKind::OrderInProgress);
        const UpstreamAnswered answer{OrderKey("key"), send->attempt, UpstreamResult::Answered, outcomeOf("ok")};
        const OrderActions done = fixture.run(fixture.service.handle(answer, fixture.now));
        CHECK(findAction<AnswerCaller>(done)->outcome == outcomeOf("ok"));
        const OrderActions third = fixture.request("third");
        CHECK(findAction<SendOrder>(third) == nullptr);
        CHECK(findAction<AnswerCaller>(third)->outcome == outcomeOf("ok"));
        CHECK(findAction<AnswerCaller>(fixture.request("fourth", "other body"))->error == ErrorKind::IdempotencyKeyReused);
    }
}

// Guards against a claim that still blocks its key after the upstream refused the order before any work. Both ledgers are
// tested.
TEST(OrderServiceTest, RefusedOrderMayBeClaimedAgain)
{
    for (const bool singleClaims : {true, false}) {
        Fixture fixture(makeLedger(singleClaims));
        fixture.run(fixture.service.handle(BecomeOwner(), fixture.now));
        const AttemptId attempt = findAction<SendOrder>(fixture.request("first"))->attempt;
        const OrderActions refused = fixture.run(fixture.service.handle(UpstreamAnswered{OrderKey("key"), attempt, UpstreamResult::Refused, {}}, fixture.now));
        CHECK(findAction<AnswerCaller>(refused)->notRun);
        const OrderActions again = fixture.request("second");
        CHECK(findAction<SendOrder>(again) != nullptr);
        CHECK(findAction<SendOrder>(again)->attempt != attempt);
    }
}

// Guards against an order that is sent without a durable claim during a store outage, and against an owner that reports an order
// as not run although it has not read the ledger.
TEST(OrderServiceTest, StoreOutageBeforeTheClaimRefusesTheOrder)
{
    Fixture fixture(makeLedger(false));
    fixture.storeUp = false;
    fixture.run(fixture.service.handle(BecomeOwner(), fixture.now));
    CHECK(findAction<SendOrder>(fixture.request("early")) == nullptr);
    const OrderActions early = fixture.tick(seconds(3));
    CHECK(findAction<AnswerCaller>(early)->error == ErrorKind::StoreUnavailable);
    CHECK_FALSE(findAction<AnswerCaller>(early)->notRun);
    fixture.storeUp = true;
    CHECK(findAction<OwnershipConfirmed>(fixture.tick(seconds(3))) != nullptr);
    fixture.storeUp = false;
    CHECK(findAction<SendOrder>(fixture.request("late")) == nullptr);
    const OrderActions late = fixture.tick(seconds(3));
    CHECK(findAction<AnswerCaller>(late)->error == ErrorKind::StoreUnavailable);
    CHECK_TRUE(findAction<AnswerCaller>(late)->notRun);
    fixture.storeUp = true;
    CHECK(findAction<SendOrder>(fixture.tick(seconds(3))) == nullptr);
}

// Guards against an outcome that is lost because the store was not available when the upstream answered.
TEST(OrderServiceTest, OutcomeIsRecordedWhenTheStoreReturns)
{
    Fixture fixture(makeLedger(false));
    fixture.run(fixture.service.handle(BecomeOwner(), fixture.now));
    const AttemptId attempt = findAction<SendOrder>(fixture.request("first"))->attempt;
    fixture.storeUp = false;
    const std::string body(5'000, 'x');
    const UpstreamAnswered answer{OrderKey("key"), attempt, UpstreamResult::Answered, outcomeOf(body)};
    CHECK(fixture.run(fixture.service.handle(answer, fixture.now)).empty());
    const OrderActions expired = fixture.tick(seconds(11));
    CHECK(findAction<AnswerCaller>(expired)->error == ErrorKind::OrderUnknown);
    CHECK_FALSE(findAction<AnswerCaller>(expired)->notRun);
    fixture.storeUp = true;
    fixture.tick(seconds(3));
    fixture.tick(seconds(3));
    const OrderActions retry = fixture.request("retry");
    CHECK(findAction<AnswerCaller>(retry)->error == ErrorKind::None);
    CHECK(fixture.store[findAction<AnswerCaller>(retry)->outcome->bodyKey].second == body);
}

// Guards against an order of unknown outcome that operators cannot see or resolve, or that runs again after their decision.
TEST(OrderServiceTest, OperatorsResolveUnknownOrders)
{
    for (const bool ran : {true, false}) {
        Fixture fixture(makeLedger(false));
        fixture.hasStatusCall = false;
        fixture.run(fixture.service.handle(BecomeOwner(), fixture.now));
        fixture.request("first");
        CHECK(fixture.service.unknownOrders().empty());
        const OperatorDecided decision{OrderKey("key"), ran, outcomeOf("by operator")};
        CHECK(findAction<DecisionAnswered>(fixture.service.handle(decision, fixture.now))->result == DecisionResult::NotUnknown);
        Fixture next(std::make_unique<OrderLedgerShard>("head", "b/1", OrderLimits()));
        next.hasStatusCall = false;
        next.store = fixture.store;
        next.run(next.service.handle(BecomeOwner(), next.now));
        CHECK(findAction<AnswerCaller>(next.request("retry"))->error == ErrorKind::OrderUnknown);
        const std::vector<OrderRecord> unknown = next.service.unknownOrders();
        LONGS_EQUAL(1, unknown.size());
        CHECK(unknown.front().claim.organisation == OrganisationId("org") && unknown.front().claim.service == ServiceId("orders"));
        CHECK(unknown.front().claim.upstream == UpstreamId("runner") && unknown.front().claim.claimedAt == WallTime(std::chrono::milliseconds(7)));
        next.storeUp = false;
        CHECK(findAction<DecisionAnswered>(next.run(next.service.handle(decision, next.now))) == nullptr);
        next.storeUp = true;
        CHECK(findAction<DecisionAnswered>(next.tick(seconds(3)))->result == DecisionResult::Recorded);
        CHECK(next.service.unknownOrders().empty());
        const OrderActions after = next.request("after");
        CHECK(findAction<SendOrder>(after) == nullptr);
        CHECK(findAction<AnswerCaller>(after)->notRun == !ran);
        CHECK(findAction<AnswerCaller>(after)->outcome.has_value() == ran);
    }
}
