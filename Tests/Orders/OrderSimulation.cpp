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
constexpr int callCount = 30;
constexpr auto faultyTime = std::chrono::seconds(12);
constexpr auto quietTime = std::chrono::seconds(60);
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

OrderSimulation::OrderSimulation(std::uint64_t seed, bool single)
    : m_random(seed)
    , m_single(single)
    , m_hosts(hostCount)
{
    for (std::size_t host = 0; host < hostCount; ++host) {
        restart(host);
    }
}

void OrderSimulation::run()
{
    const TimePoint faultsEnd = m_now + faultyTime;
    for (int i = 0; i < callCount; ++i) {
        const OrderKey key(std::to_string(m_random(keyCount)));
        later(delay(12'000), [this, key] {
            call(m_random(hostCount), key, false);
        });
    }
    for (int i = 0; i < 12; ++i) {
        later(delay(12'000), [this, host = m_random(hostCount)] {
            toHost(host, [this](OrderService &service) {
                return service.handle(BecomeOwner(), m_now);
            });
        });
    }
    for (int i = 0; i < 3; ++i) {
        later(delay(10'000), [this] {
            m_storeDown = true;
            later(delay(3'000), [this] {
                m_storeDown = false;
            });
        });
    }
    later({}, [this] {
        tickAll();
    });
    runUntil(faultsEnd);
    m_faults = false;
    m_storeDown = false;
    for (std::size_t host = 1; host < hostCount; ++host) {
        restart(host);
    }
    toHost(0, [this](OrderService &service) {
        return service.handle(BecomeOwner(), m_now);
    });
    runUntil(m_now + quietTime);
    for (int key = 0; key < keyCount; ++key) {
        call(0, OrderKey(std::to_string(key)), true);
    }
    runUntil(m_now + quietTime);
    requireAllResolved();
    for (int key = 0; key < keyCount; ++key) {
        const std::string name = std::to_string(key);
        const std::string &answer = m_lastAnswers[name];
        require(answer == (runsOf(OrderKey(name)) == 1 ? "done" : "not run"), "the last retry was told: " + answer);
    }
}

void OrderSimulation::requireAllResolved()
{
    std::vector<std::string> records;
    if (m_single) {
        for (int key = 0; key < keyCount; ++key) {
            records.push_back(m_store[SingleClaimLedger::storeKey(OrderKey(std::to_string(key)))].value);
        }
    } else {
        const auto head = decodeHead(m_store[headKey].value);
        require(head.has_value(), "the head is unreadable");
        for (const auto &[key, encoded] : head ? head->records : decltype(head->records)()) {
            records.push_back(encoded);
        }
    }
    for (const std::string &encoded : records) {
        const auto record = decodeRecord(encoded);
        require(record && record->resolution, "a claim stays without outcome");
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

int OrderSimulation::claimsWrittenWithFaults() const
{
    return m_faultyWrites;
}

bool OrderSimulation::chance(double probability)
{
    constexpr std::uint64_t parts = 10'000;
    return m_faults && m_random(parts) < static_cast<std::uint64_t>(probability * parts);
}

Duration OrderSimulation::delay(int most)
{
    return milliseconds(1 + m_random(static_cast<std::uint64_t>(most)));
}

void OrderSimulation::later(Duration in, std::function<void()> action)
{
    m_events.emplace(m_now + in, std::move(action));
}

void OrderSimulation::toHost(std::size_t host, std::function<OrderActions(OrderService &)> event)
{
    if (m_hosts[host].pausedUntil > m_now) {
        later(m_hosts[host].pausedUntil - m_now, [this, host, event = std::move(event), incarnation = m_hosts[host].incarnation] {
            if (m_hosts[host].incarnation == incarnation) {
                toHost(host, event);
            }
        });
        return;
    }
    OrderActions actions = event(*m_hosts[host].service);
    for (const OrderAction &action : actions) {
        check(host, action);
    }
    perform(host, std::move(actions));
}

void OrderSimulation::perform(std::size_t host, OrderActions actions)
{
    for (std::size_t i = 0; i < actions.size(); ++i) {
        if (chance(0.01)) {
            restart(host);
            return;
        }
        if (chance(0.02)) {
            // The rest happens after the pause, with what the host knew before it.
            m_hosts[host].pausedUntil = m_now + delay(4'000);
            const OrderActions rest(actions.begin() + static_cast<std::ptrdiff_t>(i), actions.end());
            later(m_hosts[host].pausedUntil - m_now, [this, host, rest, incarnation = m_hosts[host].incarnation] {
                if (m_hosts[host].incarnation == incarnation) {
                    perform(host, rest);
                }
            });
            return;
        }
        std::visit(
            [&](const auto &action) {
                using Action = std::decay_t<decltype(action)>;
                if constexpr (!std::is_same_v<Action, DecisionAnswered> && !std::is_same_v<Action, OwnershipConfirmed>) {
                    act(host, action);
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
    if (!m_single) {
        ledger = std::make_unique<OrderLedgerShard>(headKey, std::move(writer), testLimits());
    }
    state.service = std::make_unique<OrderService>(std::move(ledger), AttemptId{host, state.incarnation, 0}, testLimits());
}

void OrderSimulation::call(std::size_t host, const OrderKey &key, bool last)
{
    OrderRequest request;
    request.caller = RequestId((last ? "last " : "") + std::to_string(++m_lastCaller));
    request.key = key;
    request.bodyHash = "body";
    request.hasStatusCall = true;
    request.waits = last || m_random(2) == 0;
    request.deadline = m_now + (last ? Duration(quietTime) : delay(5'000));
    m_open.insert(request.caller.value());
    toHost(host, [this, request](OrderService &service) {
        return service.handle(request, m_now);
    });
}

void OrderSimulation::act(std::size_t host, const ReadKey &action)
{
    later(delay(20), [this, host, action, incarnation = m_hosts[host].incarnation] {
        StoreAnswered answer{action.call, StoreStatus::NoAnswer, 0, {}};
        if (!m_storeDown && !chance(0.1)) {
            const Value &value = m_store[action.key];
            m_seenAt[{host, action.key}] = m_now;
            answer = {action.call, value.version == 0 ? StoreStatus::NotFound : StoreStatus::Ok, value.version, value.value};
        }
        later(delay(20), [this, host, answer, incarnation] {
            if (m_hosts[host].incarnation == incarnation) {
                toHost(host, [this, answer](OrderService &service) {
                    return service.handle(answer, m_now);
                });
            }
        });
    });
}

void OrderSimulation::act(std::size_t host, const WriteKey &action)
{
    const bool lost = chance(0.15);
    const bool never = m_storeDown || (lost && chance(0.3));
    m_faultyWrites += lost ? 1 : 0;
    const auto answer = [this, host, action, incarnation = m_hosts[host].incarnation](StoreStatus status, StoreVersion version) {
        if (m_hosts[host].incarnation == incarnation) {
            toHost(host, [this, call = action.call, status, version](OrderService &service) {
                return service.handle(StoreAnswered{call, status, version, {}}, m_now);
            });
        }
    };
    if (never || lost) {
        later(milliseconds(100), [answer] {
            answer(StoreStatus::NoAnswer, 0);
        });
    }
    if (never) {
        return;
    }
    // A lost write may take effect long after its caller gave up.
    later(lost ? delay(1'000) : delay(20), [this, host, action, lost, answer] {
        Value &value = m_store[action.key];
        const bool matches = value.version == action.expected;
        if (matches) {
            value = {value.version + 1, action.value};
        }
        if (!lost) {
            m_seenAt[{host, action.key}] = m_now;
            later(delay(20), [answer, matches, version = value.version] {
                answer(matches ? StoreStatus::Ok : StoreStatus::Conflict, version);
            });
        }
    });
}

void OrderSimulation::act(std::size_t host, const SendOrder &action)
{
    later(delay(100), [this, host, action, incarnation = m_hosts[host].incarnation] {
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
                toHost(host, [this, event](OrderService &service) {
                    return service.handle(event, m_now);
                });
            }
        };
        later(delay(broken ? 4'000 : 300), [deliver, answer] {
            deliver(answer);
        });
        if (broken) {
            later(delay(200), [deliver, answer] {
                deliver({answer.key, answer.attempt, UpstreamResult::Broken, {}});
            });
        }
    });
}

void OrderSimulation::act(std::size_t host, const CallStatus &action)
{
    later(delay(50), [this, host, action, incarnation = m_hosts[host].incarnation] {
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
                // The attempt may still be sent by a paused owner.
                m_attempts.push_back({action.attempt, {action.key, 0, false, true, false, {}}});
            }
        }
        later(delay(200), [this, host, answer, incarnation] {
            if (m_hosts[host].incarnation == incarnation) {
                toHost(host, [this, answer](OrderService &service) {
                    return service.handle(answer, m_now);
                });
            }
        });
    });
}

void OrderSimulation::act(std::size_t, const AnswerCaller &)
{
}

void OrderSimulation::act(std::size_t, const ForwardOutcome &action)
{
    const std::size_t target = m_random(hostCount);
    later(delay(50), [this, target, action] {
        toHost(target, [this, action](OrderService &service) {
            return service.handle(action.answer, m_now);
        });
    });
}

void OrderSimulation::act(std::size_t, const OwnershipLost &)
{
    later(delay(500), [this] {
        toHost(m_faults ? m_random(hostCount) : 0, [this](OrderService &service) {
            return service.handle(BecomeOwner(), m_now);
        });
    });
}

void OrderSimulation::check(std::size_t host, const OrderAction &action)
{
    if (const auto *confirmed = std::get_if<OwnershipConfirmed>(&action)) {
        m_hosts[host].epoch = confirmed->epoch;
    } else if (const auto *send = std::get_if<SendOrder>(&action)) {
        require(m_open.contains(send->caller.value()), "sent for a caller that had its answer");
        const auto fenced = std::find_if(m_attempts.begin(), m_attempts.end(), [&](const auto &item) {
            return item.first == send->attempt;
        });
        if (fenced == m_attempts.end()) {
            m_attempts.push_back({send->attempt, {send->key, m_hosts[host].epoch, false, false, true, m_now}});
        } else {
            require(fenced->second.cannotRun && !fenced->second.sent, "an attempt was sent twice");
            fenced->second.epoch = m_hosts[host].epoch;
            fenced->second.sent = true;
            fenced->second.sentAt = m_now;
        }
    } else if (const auto *answer = std::get_if<AnswerCaller>(&action)) {
        require(m_open.erase(answer->caller.value()) == 1, "a caller got two answers");
        const bool last = answer->caller.value().starts_with("last ");
        const std::string &key = answer->key.value();
        if (answer->error == ErrorKind::None) {
            const std::string body = answer->outcome->bodyKey.empty() ? answer->outcome->body : m_store[answer->outcome->bodyKey].value;
            const bool isRight = std::any_of(m_attempts.begin(), m_attempts.end(), [&](const auto &item) {
                return item.second.key == answer->key && item.second.ran && body == "outcome " + toString(item.first);
            });
            require(isRight, "a wrong outcome was told: " + body);
            require(m_doneBodies.emplace(key, body).first->second == body, "an outcome changed");
        } else if (answer->notRun) {
            const bool isTrue = std::none_of(m_attempts.begin(), m_attempts.end(), [&](const auto &item) {
                return item.second.key == answer->key && couldKnow(host, item.second) && !item.second.cannotRun;
            });
            require(isTrue, "an untrue not run was told for " + key);
        }
        if (last) {
            m_lastAnswers[key] = answer->error == ErrorKind::None ? "done" : answer->notRun ? "not run" : std::string(errorAnswer(answer->error).name);
        }
    }
}

void OrderSimulation::require(bool condition, const std::string &violation)
{
    if (!condition) {
        m_violations.push_back(violation);
    }
}

void OrderSimulation::tickAll()
{
    for (std::size_t host = 0; host < hostCount; ++host) {
        toHost(host, [this](OrderService &service) {
            return service.handle(OrderTick(), m_now);
        });
    }
    later(milliseconds(50), [this] {
        tickAll();
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

bool OrderSimulation::couldKnow(std::size_t host, const Attempt &attempt) const
{
    if (m_single) {
        // A refused order may be claimed again elsewhere after this host's last store call.
        const auto seen = m_seenAt.find({host, SingleClaimLedger::storeKey(attempt.key)});
        return seen != m_seenAt.end() && attempt.sentAt <= seen->second;
    }
    // An owner that another one has fenced cannot know of later terms' sends before its next store call.
    return attempt.epoch <= m_hosts[host].epoch;
}

int OrderSimulation::runsOf(const OrderKey &key) const
{
    return static_cast<int>(std::count_if(m_attempts.begin(), m_attempts.end(), [&](const auto &item) {
        return item.second.key == key && item.second.ran;
    }));
}

}
