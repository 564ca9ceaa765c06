#include "OrderSimulation.h"

#include "Orders/OrderLedgerShard.h"
#include "Orders/SingleClaimLedger.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace Mangofall::Testing {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t hostCount = 3;
constexpr int keyCount = 6;
constexpr int requestCount = 30;
constexpr auto faultTime = std::chrono::seconds(12);
constexpr auto faultFreeTime = std::chrono::seconds(60);
const std::string headKey = "head";

OrderLimits testLimits()
{
    OrderLimits limits;
    limits.maxInlineBytes = 16;
    limits.claimTimeout = std::chrono::seconds(1);
    limits.upstreamTimeout = std::chrono::seconds(2);
    return limits;
}

}

OrderSimulation::OrderSimulation(std::uint64_t seed, bool singleClaims)
    : m_random(seed)
    , m_singleClaims(singleClaims)
    , m_hosts(hostCount)
{
    for (std::size_t host = 0; host < hostCount; ++host) {
        restart(host);
    }
}

void OrderSimulation::run()
{
    const TimePoint faultsEnd = m_now + faultTime;
    for (int i = 0; i < requestCount; ++i) {
        const OrderKey key(std::to_string(m_random(keyCount)));
        schedule(randomDelay(12'000), [this, key] {
            sendRequest(m_random(hostCount), key, false);
        });
    }
    for (int i = 0; i < 12; ++i) {
        schedule(randomDelay(12'000), [this, host = m_random(hostCount)] {
            deliverToHost(host, [this](OrderService &service) {
                return service.handle(BecomeOwner(), m_now);
            });
        });
    }
    for (int i = 0; i < 3; ++i) {
        schedule(randomDelay(10'000), [this] {
            m_storeDown = true;
            schedule(randomDelay(3'000), [this] {
                m_storeDown = false;
            });
        });
    }
    schedule({}, [this] {
        tickAllHosts();
    });
    runUntil(faultsEnd);
    m_faultsEnabled = false;
    m_storeDown = false;
    for (std::size_t host = 1; host < hostCount; ++host) {
        restart(host);
    }
    deliverToHost(0, [this](OrderService &service) {
        return service.handle(BecomeOwner(), m_now);
    });
    runUntil(m_now + faultFreeTime);
    for (int key = 0; key < keyCount; ++key) {
        sendRequest(0, OrderKey(std::to_string(key)), true);
    }
    runUntil(m_now + faultFreeTime);
    requireAllResolved();
    for (int key = 0; key < keyCount; ++key) {
        const std::string name = std::to_string(key);
        const std::string &answer = m_finalAnswers[name];
        require(answer == (runsOf(OrderKey(name)) == 1 ? "done" : "not run"), "the final retry was answered with: " + answer);
    }
}

void OrderSimulation::requireAllResolved()
{
    std::vector<std::string> records;
    if (m_singleClaims) {
        for (int key = 0; key < keyCount; ++key) {
            records.push_back(m_store[SingleClaimLedger::storeKey(OrderKey(std::to_string(key)))].value);
        }
    } else {
        const auto head = decodeHead(m_store[headKey].value);
        require(head.has_value(), "the head in the store cannot be decoded");
        for (const auto &[key, encoded] : head ? head->records : decltype(head->records)()) {
            records.push_back(encoded);
        }
    }
    for (const std::string &encoded : records) {
        const auto record = decodeRecord(encoded);
        require(record && record->resolution, "a stored claim has no resolution");
    }
}

const std::vector<std::string> &OrderSimulation::violations() const
{
    return m_violations;
}

int OrderSimulation::runs() const
{
    return static_cast<int>(std::count_if(m_attempts.begin(), m_attempts.end(), [](const auto &item) {
        return item.second.ran;
    }));
}

int OrderSimulation::lostWriteAnswers() const
{
    return m_lostWriteAnswers;
}

bool OrderSimulation::chance(double probability)
{
    constexpr std::uint64_t parts = 10'000;
    return m_faultsEnabled && m_random(parts) < static_cast<std::uint64_t>(probability * parts);
}

Duration OrderSimulation::randomDelay(int maxMilliseconds)
{
    return milliseconds(1 + m_random(static_cast<std::uint64_t>(maxMilliseconds)));
}

void OrderSimulation::schedule(Duration delay, std::function<void()> action)
{
    m_events.emplace(m_now + delay, std::move(action));
}

void OrderSimulation::deliverToHost(std::size_t host, std::function<OrderActions(OrderService &)> event)
{
    if (m_hosts[host].pausedUntil > m_now) {
        schedule(m_hosts[host].pausedUntil - m_now, [this, host, event = std::move(event), incarnation = m_hosts[host].incarnation] {
            if (m_hosts[host].incarnation == incarnation) {
                deliverToHost(host, event);
            }
        });
        return;
    }
    OrderActions actions = event(*m_hosts[host].service);
    for (const OrderAction &action : actions) {
        check(host, action);
    }
    performActions(host, std::move(actions));
}

void OrderSimulation::performActions(std::size_t host, OrderActions actions)
{
    for (std::size_t i = 0; i < actions.size(); ++i) {
        if (chance(0.01)) {
            restart(host);
            return;
        }
        if (chance(0.02)) {
            // The remaining actions are performed after the pause, based on what the host knew before it.
            m_hosts[host].pausedUntil = m_now + randomDelay(4'000);
            const OrderActions rest(actions.begin() + static_cast<std::ptrdiff_t>(i), actions.end());
            schedule(m_hosts[host].pausedUntil - m_now, [this, host, rest, incarnation = m_hosts[host].incarnation] {
                if (m_hosts[host].incarnation == incarnation) {
                    performActions(host, rest);
                }
            });
            return;
        }
        std::visit(
            [&](const auto &action) {
                using Action = std::decay_t<decltype(action)>;
                if constexpr (!std::is_same_v<Action, DecisionAnswered> && !std::is_same_v<Action, OwnershipConfirmed>) {
                    execute(host, action);
                }
            },
            actions[i]);
    }
}

void OrderSimulation::restart(std::size_t host)
{
    Host &state = m_hosts[host];
    ++state.incarnation;
    state.epoch = 0;
    state.pausedUntil = {};
    std::string writer = std::to_string(host);
    writer.append("/").append(std::to_string(state.incarnation));
    std::unique_ptr<OrderLedger> ledger = std::make_unique<SingleClaimLedger>(testLimits());
    if (!m_singleClaims) {
        ledger = std::make_unique<OrderLedgerShard>(headKey, std::move(writer), testLimits());
    }
    state.service = std::make_unique<OrderService>(std::move(ledger), AttemptId{host, state.incarnation, 0}, testLimits());
}

void OrderSimulation::sendRequest(std::size_t host, const OrderKey &key, bool isFinalRetry)
{
    OrderRequest request;
    request.caller = RequestId((isFinalRetry ? "last " : "") + std::to_string(++m_lastCallerNumber));
    request.key = key;
    request.bodyHash = "body";
    request.hasStatusCall = true;
    request.waits = isFinalRetry || m_random(2) == 0;
    request.deadline = m_now + (isFinalRetry ? Duration(faultFreeTime) : randomDelay(5'000));
    m_unansweredCallers.insert(request.caller.value());
    deliverToHost(host, [this, request](OrderService &service) {
        return service.handle(request, m_now);
    });
}

void OrderSimulation::execute(std::size_t host, const ReadKey &action)
{
    schedule(randomDelay(20), [this, host, action, incarnation = m_hosts[host].incarnation] {
        StoreAnswered answer{action.call, StoreStatus::NoAnswer, 0, {}};
        if (!m_storeDown && !chance(0.1)) {
            const StoredValue &value = m_store[action.key];
            m_lastStoreContact[{host, action.key}] = m_now;
            answer = {action.call, value.version == 0 ? StoreStatus::NotFound : StoreStatus::Ok, value.version, value.value};
        }
        schedule(randomDelay(20), [this, host, answer, incarnation] {
            if (m_hosts[host].incarnation == incarnation) {
                deliverToHost(host, [this, answer](OrderService &service) {
                    return service.handle(answer, m_now);
                });
            }
        });
    });
}

void OrderSimulation::execute(std::size_t host, const WriteKey &action)
{
    const bool answerLost = chance(0.15);
    const bool neverApplied = m_storeDown || (answerLost && chance(0.3));
    m_lostWriteAnswers += answerLost ? 1 : 0;
    const auto answer = [this, host, action, incarnation = m_hosts[host].incarnation](StoreStatus status, StoreVersion version) {
        if (m_hosts[host].incarnation == incarnation) {
            deliverToHost(host, [this, call = action.call, status, version](OrderService &service) {
                return service.handle(StoreAnswered{call, status, version, {}}, m_now);
            });
        }
    };
    if (neverApplied || answerLost) {
        schedule(milliseconds(100), [answer] {
            answer(StoreStatus::NoAnswer, 0);
        });
    }
    if (neverApplied) {
        return;
    }
    // A write whose answer is lost may take effect long after the host stopped waiting for it.
    schedule(answerLost ? randomDelay(1'000) : randomDelay(20), [this, host, action, answerLost, answer] {
        StoredValue &value = m_store[action.key];
        const bool matches = value.version == action.expected;
        if (matches) {
            value = {value.version + 1, action.value};
        }
        if (!answerLost) {
            m_lastStoreContact[{host, action.key}] = m_now;
            schedule(randomDelay(20), [answer, matches, version = value.version] {
                answer(matches ? StoreStatus::Ok : StoreStatus::Conflict, version);
            });
        }
    });
}

void OrderSimulation::execute(std::size_t host, const SendOrder &action)
{
    schedule(randomDelay(100), [this, host, action, incarnation = m_hosts[host].incarnation] {
        Attempt &attempt = std::find_if(m_attempts.begin(), m_attempts.end(), [&](const auto &item) {
                               return item.first == action.attempt;
                           })->second;
        UpstreamAnswered answer{action.key, action.attempt, UpstreamResult::Answered, {200, "text/plain", "outcome " + toString(action.attempt), {}, false}};
        if (attempt.cannotRun || chance(0.15)) {
            attempt.cannotRun = true;
            answer.result = UpstreamResult::Refused;
        } else {
            require(!attempt.ran && runsOf(action.key) == 0, "order " + action.key.value() + " ran twice");
            attempt.ran = true;
        }
        const bool broken = chance(0.2);
        const auto deliver = [this, host, incarnation](const UpstreamAnswered &event) {
            if (m_hosts[host].incarnation == incarnation) {
                deliverToHost(host, [this, event](OrderService &service) {
                    return service.handle(event, m_now);
                });
            }
        };
        schedule(randomDelay(broken ? 4'000 : 300), [deliver, answer] {
            deliver(answer);
        });
        if (broken) {
            schedule(randomDelay(200), [deliver, answer] {
                deliver({answer.key, answer.attempt, UpstreamResult::Broken, {}});
            });
        }
    });
}

void OrderSimulation::execute(std::size_t host, const CallStatus &action)
{
    schedule(randomDelay(50), [this, host, action, incarnation = m_hosts[host].incarnation] {
        StatusAnswered answer{action.key, action.attempt, StatusResult::NoAnswer, {}};
        const auto found = std::find_if(m_attempts.begin(), m_attempts.end(), [&](const auto &item) {
            return item.first == action.attempt;
        });
        if (!chance(0.4)) {
            const bool ran = found != m_attempts.end() && found->second.ran;
            answer.result = ran ? StatusResult::Ran : StatusResult::CannotRun;
            if (ran) {
                answer.outcome = {200, "text/plain", "outcome " + toString(action.attempt), {}, false};
            } else if (found != m_attempts.end()) {
                found->second.cannotRun = true;
            } else {
                // A paused owner may still send the attempt.
                m_attempts.push_back({action.attempt, {action.key, 0, false, true, false, {}}});
            }
        }
        schedule(randomDelay(200), [this, host, answer, incarnation] {
            if (m_hosts[host].incarnation == incarnation) {
                deliverToHost(host, [this, answer](OrderService &service) {
                    return service.handle(answer, m_now);
                });
            }
        });
    });
}

void OrderSimulation::execute(std::size_t, const AnswerCaller &)
{
}

void OrderSimulation::execute(std::size_t, const ForwardOutcome &action)
{
    const std::size_t target = m_random(hostCount);
    schedule(randomDelay(50), [this, target, action] {
        deliverToHost(target, [this, action](OrderService &service) {
            return service.handle(action.answer, m_now);
        });
    });
}

void OrderSimulation::execute(std::size_t, const OwnershipLost &)
{
    schedule(randomDelay(500), [this] {
        deliverToHost(m_faultsEnabled ? m_random(hostCount) : 0, [this](OrderService &service) {
            return service.handle(BecomeOwner(), m_now);
        });
    });
}

void OrderSimulation::check(std::size_t host, const OrderAction &action)
{
    if (const auto *confirmed = std::get_if<OwnershipConfirmed>(&action)) {
        m_hosts[host].epoch = confirmed->epoch;
    } else if (const auto *send = std::get_if<SendOrder>(&action)) {
        require(m_unansweredCallers.contains(send->caller.value()), "an order was sent for a request that had already been answered");
        const auto known = std::find_if(m_attempts.begin(), m_attempts.end(), [&](const auto &item) {
            return item.first == send->attempt;
        });
        if (known == m_attempts.end()) {
            m_attempts.push_back({send->attempt, {send->key, m_hosts[host].epoch, false, false, true, m_now}});
        } else {
            require(known->second.cannotRun && !known->second.sent, "an attempt was sent twice");
            known->second.epoch = m_hosts[host].epoch;
            known->second.sent = true;
            known->second.sentAt = m_now;
        }
    } else if (const auto *answer = std::get_if<AnswerCaller>(&action)) {
        require(m_unansweredCallers.erase(answer->caller.value()) == 1, "a request was answered twice");
        const bool isFinalRetry = answer->caller.value().starts_with("last ");
        const std::string &key = answer->key.value();
        if (answer->error == ErrorKind::None) {
            const std::string body = answer->outcome->bodyKey.empty() ? answer->outcome->body : m_store[answer->outcome->bodyKey].value;
            const bool isOutcomeOfRun = std::any_of(m_attempts.begin(), m_attempts.end(), [&](const auto &item) {
                return item.second.key == answer->key && item.second.ran && body == "outcome " + toString(item.first);
            });
            require(isOutcomeOfRun, "an answer holds an outcome that no run gave: " + body);
            require(m_reportedBodies.emplace(key, body).first->second == body, "two answers for one key hold different outcomes");
        } else if (answer->notRun) {
            const bool isProven = std::none_of(m_attempts.begin(), m_attempts.end(), [&](const auto &item) {
                return item.second.key == answer->key && couldKnowOf(host, item.second) && !item.second.cannotRun;
            });
            require(isProven, "an answer reports an order as not run that may have run: " + key);
        }
        if (isFinalRetry) {
            m_finalAnswers[key] = answer->error == ErrorKind::None ? "done" : answer->notRun ? "not run" : std::string(errorAnswer(answer->error).name);
        }
    }
}

void OrderSimulation::require(bool condition, const std::string &violation)
{
    if (!condition) {
        m_violations.push_back(violation);
    }
}

void OrderSimulation::tickAllHosts()
{
    for (std::size_t host = 0; host < hostCount; ++host) {
        deliverToHost(host, [this](OrderService &service) {
            return service.handle(OrderTick(), m_now);
        });
    }
    schedule(milliseconds(50), [this] {
        tickAllHosts();
    });
}

void OrderSimulation::runUntil(TimePoint end)
{
    while (!m_events.empty() && m_events.begin()->first <= end) {
        auto event = m_events.extract(m_events.begin());
        m_now = event.key();
        event.mapped()();
    }
    m_now = end;
}

bool OrderSimulation::couldKnowOf(std::size_t host, const Attempt &attempt) const
{
    if (m_singleClaims) {
        // Another host may claim a refused order again after this host's last store call.
        const auto seen = m_lastStoreContact.find({host, SingleClaimLedger::storeKey(attempt.key)});
        return seen != m_lastStoreContact.end() && attempt.sentAt <= seen->second;
    }
    // An owner fenced by another one cannot know of attempts sent in later epochs before its next store call.
    return attempt.epoch <= m_hosts[host].epoch;
}

int OrderSimulation::runsOf(const OrderKey &key) const
{
    return static_cast<int>(std::count_if(m_attempts.begin(), m_attempts.end(), [&](const auto &item) {
        return item.second.key == key && item.second.ran;
    }));
}

}
