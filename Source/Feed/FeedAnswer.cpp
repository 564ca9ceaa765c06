#include "Feed/FeedAnswer.h"

#include "Feed/MirrorState.h"

namespace Mangofall::Feed {

namespace {

// A revision of another era is no position in this view.
ItemPage answerFromView(const StoreView &view, const FeedRequest &request, std::uint64_t era)
{
    if (request.page) {
        return view.pageAfter(request.afterKey);
    }
    if (request.era == 0 || request.era == era) {
        return view.changesAfter(request.afterRevision);
    }
    ItemPage page;
    page.status = SourceStatus::HistoryGone;
    page.revision = view.revision();
    return page;
}

}

std::optional<ItemPage> answerFeedRequest(const MirrorState &state, const FeedRequest &request, TimePoint now)
{
    const StoreView &view = state.view();
    ItemPage page;
    page.status = SourceStatus::Starting;
    page.era = state.era();
    if (request.era > page.era) {
        return page; // The caller sees that this host is behind and asks another source.
    }
    if (state.synchronised() && !state.readsNewEra() && view.consistent()) {
        page = answerFromView(view, request, page.era);
        page.era = state.era();
        page.eraRevision = state.eraRevision();
        page.age = state.age(now).value_or(Duration::zero());
        page.failureAge = state.failureAge(now);
        if (request.page || !page.items.empty() || page.status == SourceStatus::HistoryGone) {
            return page;
        }
    }
    return now >= request.deadline ? std::optional<ItemPage>(page) : std::nullopt;
}

}
