#include "Admission/OrganisationLimiter.h"

#include <algorithm>

namespace Mangofall {

double OrganisationLimiter::Account::capacity() const
{
    return std::max(1.0, requestsPerSecond);
}

void OrganisationLimiter::Account::refill(TimePoint now)
{
    availableRequests = std::min(capacity(), availableRequests + requestsPerSecond * Seconds(now - refilledAt).count());
    refilledAt = now;
}

void OrganisationLimiter::setShare(TimePoint now, const OrganisationId &organisation, double requestsPerSecond, std::uint64_t tokensInFlight)
{
    const auto [entry, first] = m_accounts.try_emplace(organisation);
    Account &account = entry->second;
    account.refill(now);
    account.requestsPerSecond = requestsPerSecond;
    account.tokenLimit = tokensInFlight;
    // A changed share keeps the content of the bucket; only the bucket of a new organisation starts full.
    account.availableRequests = first ? account.capacity() : std::min(account.availableRequests, account.capacity());
}

ErrorKind OrganisationLimiter::admit(TimePoint now, const OrganisationId &organisation, std::uint64_t promptTokens)
{
    Account &account = m_accounts[organisation];
    account.refill(now);
    const bool rateLimited = account.requestsPerSecond > 0 && account.availableRequests < 1;
    const bool tokenLimited = account.tokenLimit > 0 && account.tokens + promptTokens > account.tokenLimit;
    if (rateLimited || tokenLimited) {
        return ErrorKind::RateLimited;
    }
    if (account.requestsPerSecond > 0) {
        account.availableRequests -= 1;
    }
    account.tokens += promptTokens;
    return ErrorKind::None;
}

void OrganisationLimiter::release(const OrganisationId &organisation, std::uint64_t promptTokens)
{
    Account &account = m_accounts[organisation];
    account.tokens -= std::min(account.tokens, promptTokens);
}

std::uint64_t OrganisationLimiter::tokensInFlight(const OrganisationId &organisation) const
{
    const auto account = m_accounts.find(organisation);
    return account == m_accounts.end() ? 0 : account->second.tokens;
}

}
