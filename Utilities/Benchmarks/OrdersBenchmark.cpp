// Compares two order ledgers, one with a store key per order and one with group commit, by orders per simulated second and store calls per order.
//
// Arguments: the number of concurrent callers (which bounds the size of a batch), and whether the store answers calls in parallel (1) or one at a time
// (0, i.e. 500 calls a second). Every store call takes 2 ms of simulated time; the upstream answers at once. Only counters of the same run are
// comparable. The retention is 10 ms, so that the limit on the size of the ledger head does not bound the rate.

#include "Orders/OrderLedgerShard.h"
#include "Orders/OrderService.h"
#include "Orders/SingleClaimLedger.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <type_traits>
#include <unordered_map>
#include <utility>

using namespace Mangofall;
using namespace Mangofall::Orders;

namespace {

constexpr auto storeLatency = std::chrono::milliseconds(2);
constexpr std::uint64_t ordersPerRun = 4096;

// Runs orders of concurrent callers against a simulated store and upstream, in simulated time.
class Simulation
{
public:
    Simulation(std::unique_ptr<OrderLedger> ledger, const OrderLimits &limits, bool parallelStore)
        : m_service(std::move(ledger), AttemptId{1, 1, 0}, limits)
        , m_parallelStore(parallelStore)
    {
    }

    void run(std::uint64_t callers)
    {
        perform(m_service.handle(BecomeOwner(), m_now));
        answerStoreCalls(0);
        m_calls = 0;
        m_startTime = m_now;
        for (std::uint64_t i = 0; i < callers; ++i) {
            submitOrder();
        }
        answerStoreCalls(ordersPerRun);
    }

    double ordersPerSecond() const
    {
        return static_cast<double>(m_done) / Seconds(m_now - m_startTime).count();
    }

    double callsPerOrder() const
    {
        return static_cast<double>(m_calls) / static_cast<double>(m_done);
    }

    std::uint64_t refused() const
    {
        return m_refused;
    }

private:
    void submitOrder()
    {
        const std::string number = std::to_string(++m_lastOrder);
        OrderRequest request;
        request.caller = RequestId(number);
        request.key = OrderKey("organisation/route/" + number);
        request.bodyHash = "0123456789abcdef0123456789abcdef";
        request.organisation = OrganisationId("organisation");
        request.service = ServiceId("orders");
        request.upstream = UpstreamId("runner-1");
        request.deadline = m_now + std::chrono::seconds(10);
        perform(m_service.handle(request, m_now));
    }

    // Answers store calls in the order in which they were made, until none is left or \p orders orders are done (0: no such limit).
    void answerStoreCalls(std::uint64_t orders)
    {
        while (!m_answers.empty() && (orders == 0 || m_done < orders)) {
            auto [at, answer] = std::move(m_answers.front());
            m_answers.pop_front();
            m_now = at;
            perform(m_service.handle(answer, m_now));
        }
    }

    TimePoint scheduleStoreAnswer()
    {
        ++m_calls;
        m_lastAnswerTime = (m_parallelStore ? m_now : std::max(m_now, m_lastAnswerTime)) + storeLatency;
        return m_lastAnswerTime;
    }

    void perform(OrderActions actions)
    {
        for (OrderAction &action : actions) {
            if (auto *read = std::get_if<ReadKey>(&action)) {
                const auto &[version, value] = m_store[read->key];
                m_answers.emplace_back(scheduleStoreAnswer(),
                                       StoreAnswered{read->call, version == 0 ? StoreStatus::NotFound : StoreStatus::Ok, version, value});
            } else if (auto *write = std::get_if<WriteKey>(&action)) {
                auto &[version, value] = m_store[write->key];
                const bool matches = version == write->expected;
                if (matches) {
                    ++version;
                    value = std::move(write->value);
                }
                m_answers.emplace_back(scheduleStoreAnswer(), StoreAnswered{write->call, matches ? StoreStatus::Ok : StoreStatus::Conflict, version, {}});
            } else if (auto *send = std::get_if<SendOrder>(&action)) {
                const UpstreamAnswered answer{send->key, send->attempt, UpstreamResult::Answered, {200, "application/json", "{\"ok\":true}", {}, false}};
                perform(m_service.handle(answer, m_now));
            } else if (auto *done = std::get_if<AnswerCaller>(&action)) {
                m_refused += done->error == ErrorKind::None ? 0 : 1;
                ++m_done;
                submitOrder();
            }
        }
    }

    OrderService m_service;
    bool m_parallelStore;
    TimePoint m_now{std::chrono::seconds(1)};
    TimePoint m_startTime;
    TimePoint m_lastAnswerTime;
    std::deque<std::pair<TimePoint, StoreAnswered>> m_answers;
    std::unordered_map<std::string, std::pair<StoreVersion, std::string>> m_store;
    std::uint64_t m_lastOrder = 0;
    std::uint64_t m_done = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_calls = 0;
};

template<bool groupCommit>
void processOrders(benchmark::State &state)
{
    OrderLimits limits;
    limits.retention = std::chrono::milliseconds(10);
    const auto callers = static_cast<std::uint64_t>(state.range(0));
    for ([[maybe_unused]] const auto iteration : state) {
        std::unique_ptr<OrderLedger> ledger;
        if (groupCommit) {
            ledger = std::make_unique<OrderLedgerShard>("head", "host/1", limits);
        } else {
            ledger = std::make_unique<SingleClaimLedger>(limits);
        }
        Simulation simulation(std::move(ledger), limits, state.range(1) == 1);
        simulation.run(callers);
        if (simulation.refused() != 0) {
            state.SkipWithError("the order service refused orders");
            break;
        }
        state.counters["orders_per_simulated_second"] = simulation.ordersPerSecond();
        state.counters["store_calls_per_order"] = simulation.callsPerOrder();
    }
    state.SetItemsProcessed(state.iterations() * static_cast<std::int64_t>(ordersPerRun));
}

// Measures the processor time of encoding the ledger head, which every commit does, by the number of records in the head.
void encodeLedgerHead(benchmark::State &state)
{
    LedgerHead head;
    head.writer = "host/1";
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        OrderRecord record;
        record.claim.key = OrderKey("organisation/route/" + std::to_string(i));
        record.claim.bodyHash = "0123456789abcdef0123456789abcdef";
        record.resolution = OrderResolution{true, ResolutionSource::UpstreamAnswer, {200, "application/json", "{\"ok\":true}", {}, false}};
        head.records.emplace(record.claim.key, encodeRecord(record));
    }
    std::size_t bytes = 0;
    for ([[maybe_unused]] const auto iteration : state) {
        bytes = encodeHead(head).size();
    }
    state.counters["head_bytes"] = static_cast<double>(bytes);
}

void setArguments(benchmark::internal::Benchmark *benchmark)
{
    benchmark->ArgNames({"callers", "parallel"})->ArgsProduct({{1, 8, 32, 128, 512}, {0, 1}})->Unit(benchmark::kMillisecond);
}

}

BENCHMARK(processOrders<false>)->Name("single_create")->Apply(setArguments);
BENCHMARK(processOrders<true>)->Name("group_commit")->Apply(setArguments);

BENCHMARK(encodeLedgerHead)->Name("encode_head")->Arg(100)->Arg(1000)->Arg(8000)->Unit(benchmark::kMicrosecond);

BENCHMARK_MAIN();
