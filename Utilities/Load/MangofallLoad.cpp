#include "Load/LoadRunner.h"

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <stdexcept>

using namespace Mangofall;
using namespace Mangofall::Load;

namespace {

constexpr std::uint32_t maxRequests = 1'000'000;

std::vector<std::pair<std::string, std::string>> readKeys(const std::string &path)
{
    std::vector<std::pair<std::string, std::string>> keys;
    if (path.empty()) {
        return keys;
    }
    std::ifstream file(path);
    const nlohmann::json json = nlohmann::json::parse(file, nullptr, false);
    if (!json.is_object()) {
        throw std::invalid_argument(path + " is not a JSON object of organisation names and keys");
    }
    for (const auto &[name, key] : json.items()) {
        keys.emplace_back(name, key.get<std::string>());
    }
    return keys;
}

void writeFile(const std::string &path, const std::string &text)
{
    std::ofstream file(path);
    file << text;
    if (!file.flush()) {
        throw std::runtime_error("cannot write " + path);
    }
}

void validateOptions(const LoadOptions &options)
{
    const bool shares = options.longShare >= 0 && options.longShare <= 1 && options.orderShare >= 0 && options.orderShare <= 1;
    if (options.rate <= 0 || options.timeScale <= 0 || !shares || options.medianTokens < 1 || options.sigma < 0) {
        throw std::invalid_argument("--rate and --time-scale must be positive, shares between 0 and 1, --median-tokens at least 1, --sigma not negative");
    }
    if (options.requests > maxRequests || options.maxTokens <= options.longTokens || options.minTokens > options.longTokens) {
        throw std::invalid_argument("at most " + std::to_string(maxRequests)
                                    + " requests are allowed, and --min-tokens <= --long-tokens < --max-prompt-tokens must hold");
    }
}

Duration seconds(double count)
{
    return toDuration(Seconds(count));
}

}

int main(int argc, char **argv)
{
    try {
        const LoadOptions defaults;
        TCLAP::CmdLine line("Open-loop load generator for mangofall; times and rates are service time, which runs --time-scale times faster than real time.");
        TCLAP::MultiArg<std::string> targets("t", "target", "IP address and port of a target; may be repeated", true, "address:port", line);
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of arrivals, lengths and prompts", false, defaults.seed, "number", line);
        TCLAP::ValueArg<std::uint32_t> requests("n", "requests", "maximum number of requests", false, defaults.requests, "count", line);
        TCLAP::ValueArg<double> duration("", "seconds", "arrivals stop after this time", false, 60, "s", line);
        TCLAP::ValueArg<double> rate("r", "rate", "arrivals per second", false, defaults.rate, "1/s", line);
        TCLAP::ValueArg<double> timeScale("", "time-scale", "service seconds per real second", false, 1, "factor", line);
        TCLAP::ValueArg<double> median(
            "", "median-tokens", "median length of the prompts up to --long-tokens (lognormal)", false, defaults.medianTokens, "tokens", line);
        TCLAP::ValueArg<double> sigma(
            "", "sigma", "standard deviation of the logarithm of the lengths up to --long-tokens", false, defaults.sigma, "number", line);
        TCLAP::ValueArg<std::uint32_t> minTokens("", "min-tokens", "shortest prompt", false, defaults.minTokens, "tokens", line);
        TCLAP::ValueArg<double> longShare("", "long-share", "share of prompts longer than --long-tokens", false, defaults.longShare, "share", line);
        TCLAP::ValueArg<std::uint32_t> longTokens("", "long-tokens", "prompts longer than this count as long", false, defaults.longTokens, "tokens", line);
        TCLAP::ValueArg<std::uint32_t> maxTokens("", "max-prompt-tokens", "longest prompt", false, defaults.maxTokens, "tokens", line);
        TCLAP::ValueArg<std::uint32_t> prefix(
            "", "shared-prefix-tokens", "length of the prefix that the prompts of an organisation share", false, 0, "tokens", line);
        TCLAP::ValueArg<std::uint32_t> answer("", "answer-tokens", "tokens per answer", false, defaults.answerTokens, "tokens", line);
        TCLAP::ValueArg<double> orderShare("", "order-share", "share of arrivals that are orders", false, 0, "share", line);
        TCLAP::ValueArg<std::string> orderPath("", "order-path", "HTTP path of orders", false, defaults.orderPath, "path", line);
        TCLAP::ValueArg<std::uint32_t> orderTries(
            "", "order-tries", "maximum calls per order, each to the next target", false, defaults.orderTries, "count", line);
        TCLAP::ValueArg<std::string> model("", "model", "model name", false, defaults.model, "name", line);
        TCLAP::ValueArg<std::string> keys("", "keys", "JSON file with the organisations' keys; the first ones send the most", false, "", "file", line);
        TCLAP::ValueArg<double> timeout("", "timeout", "time limit of each request", false, 120, "s", line);
        TCLAP::ValueArg<std::uint32_t> maxInFlight(
            "", "max-in-flight", "requests that arrive above this cap are not sent", false, defaults.maxInFlight, "count", line);
        TCLAP::ValueArg<std::string> plot("", "plot", "writes PREFIX.dat and PREFIX.gnuplot for mangofall-load-plot", false, "", "prefix", line);
        line.parse(argc, argv);

        LoadOptions options;
        options.targets = targets.getValue();
        options.seed = seed.getValue();
        options.requests = requests.getValue();
        options.duration = seconds(duration.getValue());
        options.rate = rate.getValue();
        options.timeScale = timeScale.getValue();
        options.medianTokens = median.getValue();
        options.sigma = sigma.getValue();
        options.minTokens = minTokens.getValue();
        options.longShare = longShare.getValue();
        options.longTokens = longTokens.getValue();
        options.maxTokens = maxTokens.getValue();
        options.sharedPrefixTokens = prefix.getValue();
        options.answerTokens = answer.getValue();
        options.orderShare = orderShare.getValue();
        options.orderPath = orderPath.getValue();
        options.orderTries = orderTries.getValue();
        options.model = model.getValue();
        options.organisations = readKeys(keys.getValue());
        options.timeout = seconds(timeout.getValue());
        options.maxInFlight = maxInFlight.getValue();
        validateOptions(options);

        const LoadReport report = LoadRunner(options).run();
        nlohmann::json summary = report.summary();
        summary["seed"] = options.seed;
        summary["rate"] = options.rate;
        summary["time_scale"] = options.timeScale;
        std::cout << summary.dump(2) << '\n';
        if (!plot.getValue().empty()) {
            writeFile(plot.getValue() + ".dat", report.plotData());
            writeFile(plot.getValue() + ".gnuplot", LoadReport::plotScript(plot.getValue() + ".dat", plot.getValue() + ".svg"));
        }
    } catch (const TCLAP::ArgException &error) {
        std::cerr << "mangofall-load: " << error.argId() << ": " << error.error() << '\n';
        return 2;
    } catch (const std::exception &error) {
        std::cerr << "mangofall-load: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
