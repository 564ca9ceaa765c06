#pragma once

#include "Admission/UpstreamDispatcher.h"

#include <algorithm>
#include <map>
#include <vector>

namespace Mangofall::Testing {

/// Simulates an engine that prefills one prompt at a time, by priority and then by arrival, and decodes each for a fixed time.
class FakeEngine
{
public:
    FakeEngine(double rate, Duration decode)
        : m_rate(rate)
        , m_decode(decode)
    {
    }

    void add(const QueuedAttempt &attempt, int priority)
    {
        m_prefill.push_back({attempt.attempt, static_cast<double>(attempt.uncachedTokens), priority});
        std::stable_sort(m_prefill.begin(), m_prefill.end(), [](const Item &left, const Item &right) {
            return left.priority > right.priority;
        });
    }

    /// Simulates the time \p step that ends at \p now and returns the events in it.
    std::vector<DispatcherInput> run(TimePoint now, Duration step)
    {
        std::vector<DispatcherInput> events;
        double budget = m_rate * Seconds(step).count();
        while (!m_prefill.empty() && budget > 0) {
            Item &item = m_prefill.front();
            const double done = std::min(budget, item.tokens);
            item.tokens -= done;
            budget -= done;
            if (item.tokens <= 0) {
                events.emplace_back(DispatcherEvent::FirstToken{item.attempt});
                m_decoding.emplace(now + m_decode, item.attempt);
                m_prefill.erase(m_prefill.begin());
            }
        }
        while (!m_decoding.empty() && m_decoding.begin()->first <= now) {
            events.emplace_back(DispatcherEvent::Finished{m_decoding.begin()->second});
            m_decoding.erase(m_decoding.begin());
        }
        return events;
    }

private:
    struct Item {
        AttemptId attempt;
        double tokens = 0;
        int priority = 0;
    };

    double m_rate;
    Duration m_decode;
    std::vector<Item> m_prefill;
    std::multimap<TimePoint, AttemptId> m_decoding;
};

}
