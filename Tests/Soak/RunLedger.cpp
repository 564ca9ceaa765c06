#include "Soak/RunLedger.h"

#include <algorithm>

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
    m_attempts.at(attempt).end = end;
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
    for (const auto &[attempt, details] : m_attempts) {
        if (details.end == CallerEnd::Refused && details.kind == SoakKind::Once && details.runs > 0) {
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
    return static_cast<std::uint64_t>(std::count_if(m_attempts.begin(), m_attempts.end(), [end](const auto &attempt) {
        return attempt.second.end == end;
    }));
}

double RunLedger::answeredShare(TimePoint from) const
{
    double ended = 0;
    double answered = 0;
    for (const auto &[attempt, details] : m_attempts) {
        if (details.sentAt >= from && details.end) {
            ++ended;
            answered += details.end == CallerEnd::Answered ? 1 : 0;
        }
    }
    return ended > 0 ? answered / ended : 1;
}

}
