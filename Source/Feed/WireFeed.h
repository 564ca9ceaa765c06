#pragma once

#include "Feed/ItemPage.h"

#include <optional>

namespace Mangofall::Wire {
struct FeedAnswerT;
}

namespace Mangofall::Feed {

Wire::FeedAnswerT toWire(const ItemPage &page, std::uint64_t call);

/// Decodes an answer of a peer; empty if a value is outside its range or an item is newer than the view that it comes from.
std::optional<ItemPage> fromWire(const Wire::FeedAnswerT &answer);

}
