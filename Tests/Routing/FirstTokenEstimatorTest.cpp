#include "Property.h"

#include "Routing/FirstTokenEstimator.h"

#include <cmath>

using namespace Mangofall;

TEST_GROUP(FirstTokenEstimatorTest){};

// Guards against an estimator that keeps an outdated rate or bytes-per-token ratio after they have changed.
TEST(FirstTokenEstimatorTest, ConvergesToTheMeasuredRateAndRatio)
{
    Testing::checkProperty("rate and bytes per token converge to the measured values within the noise", [] {
        const ModelId model("m");
        UpstreamView view;
        view.id = UpstreamId("u");
        FirstTokenEstimator estimator;
        for (int phase = 0; phase < 2; ++phase) {
            const auto rate = static_cast<double>(*rc::gen::inRange(1'000, 100'000));
            const int bytesPerToken = *rc::gen::inRange(1, 12);
            for (int sample = 0; sample < 80; ++sample) {
                const auto tokens = *rc::gen::inRange<std::uint64_t>(1'000, 100'000);
                const double noise = *rc::gen::inRange(-10, 11) / 100.0;
                estimator.observePrefill(view.id, model, tokens, toDuration(Seconds(static_cast<double>(tokens) / (rate * (1 + noise)))));
                estimator.observePromptSize(model, tokens * static_cast<std::uint64_t>(bytesPerToken), tokens);
            }
            // The tolerance covers noise of a tenth and the rest of a former rate up to 100 times as high, of which at most 0.0002 remains after 80 samples
            // with a smoothing factor of 0.1.
            RC_ASSERT(std::abs(estimator.prefillRate(view, model) / rate - 1) < 0.125);
            const auto estimated = estimator.estimateTokens(model, 100'000ULL * static_cast<std::uint64_t>(bytesPerToken));
            RC_ASSERT(estimated > 99'000 && estimated < 102'000);
        }
    });
}

// Guards against an estimate that counts long prompts as work ahead of short ones, or omits the wait for a request slot.
TEST(FirstTokenEstimatorTest, CountsWorkAheadOfTheClass)
{
    FirstTokenEstimator estimator;
    UpstreamView view;
    view.prefillRate = 1'000;
    view.requestCap = 4;
    view.inFlightPrefillTokens = {1'000, 2'000, 100'000};
    view.residence = Seconds(8);
    view.cachedTokens = 500;
    RequestProfile request;
    request.promptTokens = 1'500;
    DOUBLES_EQUAL(4, estimator.timeToFirstToken(request, view).count(), 1e-9);
    view.inFlightRequests = 4;
    DOUBLES_EQUAL(6, estimator.timeToFirstToken(request, view).count(), 1e-9);
    request.lengthClass = LengthClass::Long;
    DOUBLES_EQUAL(106, estimator.timeToFirstToken(request, view).count(), 1e-9);
}
