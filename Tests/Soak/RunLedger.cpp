#include "Soak/RunLedger.h"

namespace Mangofall::Soak {

void RunLedger::sent(const std::string &attempt, const Attempt &details)
{
    m_attempts[attempt] = details;
}

const RunLedger::Attempt *RunLedger::find(const std::string &attempt) const
{
    const auto found = m_attempts.find(attempt);
    return found == m_attempts.end() ? nullptr : &found->second;
}

void RunLedger::ran(const std::string &attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        broken("an upstream ran " + attempt + ", which no caller sent");
        return;
    }
    ++found->second.runs;
    if (found->second.kind == SoakKind::Once && found->second.runs > 1) {
        broken(attempt + " ran more than once although it may run once only");
    }
}

void RunLedger::ended(const std::string &attempt, CallerEnd end)
{
    m_ends[attempt] = end;
    ++m_counts[end];
    if (end == CallerEnd::Hung) {
        broken(attempt + " has no answer long after its deadline");
    }
}

void RunLedger::broken(const std::string &promise)
{
    m_violations.push_back(promise);
}

void RunLedger::checkRefusals()
{
    for (const auto &[attempt, end] : m_ends) {
        const Attempt &details = m_attempts[attempt];
        if (end == CallerEnd::Refused && details.kind == SoakKind::Once && details.runs > 0) {
            broken(attempt + " was refused as not run and has run");
        }
    }
}

const std::vector<std::string> &RunLedger::violations() const
{
    return m_violations;
}

std::uint64_t RunLedger::count(CallerEnd end) const
{
    const auto found = m_counts.find(end);
    return found == m_counts.end() ? 0 : found->second;
}

double RunLedger::answeredShare(TimePoint from) const
{
    double sent = 0;
    double answered = 0;
    for (const auto &[attempt, details] : m_attempts) {
        const auto end = m_ends.find(attempt);
        if (details.sentAt >= from && end != m_ends.end()) {
            ++sent;
            answered += end->second == CallerEnd::Answered ? 1 : 0;
        }
    }
    return sent > 0 ? answered / sent : 1;
}

}
