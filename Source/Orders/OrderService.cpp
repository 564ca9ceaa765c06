#include "Orders/OrderService.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace Mangofall::Orders {

OrderService::OrderService(std::unique_ptr<OrderLedger> ledger, AttemptId process, OrderLimits limits)
    : m_ledger(std::move(ledger))
    , m_lastAttempt(process)
    , m_limits(limits)
{
}

OrderActions OrderService::handle(const BecomeOwner &event, TimePoint now)
{
    OrderActions actions;
    execute(m_ledger->handle(event, now), now, actions);
    return actions;
}

OrderActions OrderService::handle(const StopOwning &event, TimePoint now)
{
    OrderActions actions;
    execute(m_ledger->handle(event, now), now, actions);
    return actions;
}

OrderActions OrderService::handle(const OrderRequest &event, TimePoint now)
{
    if (!m_processors.contains(event.key)) {
        ++m_lastAttempt.sequence;
        OrderClaim claim{event.key, m_lastAttempt, event.bodyHash, event.organisation, event.service, event.upstream, event.hasStatusCall, event.receivedAt};
        m_processors.emplace(event.key, OrderProcessor(std::move(claim), m_limits));
    }
    return dispatch(event, now);
}

OrderActions OrderService::handle(const StoreAnswered &event, TimePoint now)
{
    OrderActions actions;
    execute(m_ledger->handle(event, now), now, actions);
    return actions;
}

OrderActions OrderService::handle(const UpstreamAnswered &event, TimePoint now)
{
    return dispatch(event, now);
}

OrderActions OrderService::handle(const StatusAnswered &event, TimePoint now)
{
    return dispatch(event, now);
}

OrderActions OrderService::handle(const OperatorDecided &event, TimePoint now)
{
    if (!m_processors.contains(event.key)) {
        return {DecisionAnswered{event.key, DecisionResult::NotUnknown}};
    }
    return dispatch(event, now);
}

OrderActions OrderService::handle(const OrderTick &event, TimePoint now)
{
    OrderActions actions;
    execute(m_ledger->handle(event, now), now, actions);
    ProcessorActions due;
    for (auto &[key, processor] : m_processors) {
        ProcessorActions more = processor.handle(event, now);
        std::move(more.begin(), more.end(), std::back_inserter(due));
    }
    execute(std::move(due), now, actions);
    std::erase_if(m_processors, [](const auto &item) {
        return item.second.isFinished();
    });
    return actions;
}

std::vector<OrderRecord> OrderService::unknownOrders() const
{
    std::vector<OrderRecord> records = m_ledger->unresolved();
    std::erase_if(records, [this](const OrderRecord &record) {
        const auto found = m_processors.find(record.claim.key);
        return found != m_processors.end() && !found->second.isUnknown();
    });
    return records;
}

bool OrderService::isIdle() const
{
    return std::all_of(m_processors.begin(), m_processors.end(), [](const auto &item) {
        return item.second.isFinished() || item.second.isUnknown();
    });
}

AttemptId OrderService::lastAttempt() const
{
    return m_lastAttempt;
}

void OrderService::execute(LedgerActions ledgerActions, TimePoint now, OrderActions &actions)
{
    for (LedgerAction &ledgerAction : ledgerActions) {
        std::visit(
            [&](auto &action) {
                using Action = std::decay_t<decltype(action)>;
                if constexpr (std::is_same_v<Action, ReadKey> || std::is_same_v<Action, WriteKey>) {
                    actions.emplace_back(std::move(action));
                } else if constexpr (std::is_same_v<Action, OwnershipConfirmed>) {
                    recoverUnresolved(action, actions);
                } else if constexpr (std::is_same_v<Action, OwnershipLost>) {
                    handleOwnershipLost(action, now, actions);
                } else {
                    deliverToProcessor(action, now, actions);
                }
            },
            ledgerAction);
    }
}

void OrderService::execute(ProcessorActions processorActions, TimePoint now, OrderActions &actions)
{
    for (ProcessorAction &processorAction : processorActions) {
        std::visit(
            [&](auto &action) {
                using Action = std::decay_t<decltype(action)>;
                if constexpr (std::is_same_v<Action, ClaimOrder> || std::is_same_v<Action, WithdrawClaim> || std::is_same_v<Action, ResolveOrder>) {
                    execute(m_ledger->handle(action, now), now, actions);
                } else {
                    actions.emplace_back(std::move(action));
                }
            },
            processorAction);
    }
}

void OrderService::recoverUnresolved(const OwnershipConfirmed &event, OrderActions &actions)
{
    actions.emplace_back(event);
    for (const OrderRecord &record : event.unresolved) {
        const auto found = m_processors.find(record.claim.key);
        // A processor whose claim is pending in the ledger gets the record from the ledger and still has its callers.
        if (found == m_processors.end() || !found->second.awaitsClaim()) {
            m_processors.insert_or_assign(record.claim.key, OrderProcessor(record, m_limits));
        }
    }
}

void OrderService::handleOwnershipLost(const OwnershipLost &event, TimePoint now, OrderActions &actions)
{
    ProcessorActions due;
    for (auto &[key, processor] : m_processors) {
        ProcessorActions more = processor.handle(event, now);
        std::move(more.begin(), more.end(), std::back_inserter(due));
    }
    execute(std::move(due), now, actions);
    std::erase_if(m_processors, [](const auto &item) {
        return item.second.isFinished();
    });
    actions.emplace_back(event);
}

template<class Event>
OrderActions OrderService::dispatch(const Event &event, TimePoint now)
{
    OrderActions actions;
    deliverToProcessor(event, now, actions);
    return actions;
}

template<class Event>
void OrderService::deliverToProcessor(const Event &event, TimePoint now, OrderActions &actions)
{
    const auto found = m_processors.find(event.key);
    if (found == m_processors.end()) {
        return;
    }
    execute(found->second.handle(event, now), now, actions);
    const auto after = m_processors.find(event.key);
    if (after != m_processors.end() && after->second.isFinished()) {
        m_processors.erase(after);
    }
}

}
