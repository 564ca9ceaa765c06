#include "Experiment/ComparisonPlot.h"

#include "Experiment/Comparison.h"

#include <array>
#include <iomanip>
#include <sstream>
#include <string_view>

namespace Mangofall::Experiment {

namespace {

// All lengths in pixels.
constexpr double barWidth = 22;
constexpr double groupGap = 28;
constexpr double plotHeight = 240;
constexpr double left = 50;
constexpr double top = 50;
constexpr double bottom = 40;
constexpr double legendStep = 130;
constexpr double gridStep = 0.2;
constexpr double intervalCapHalfWidth = 4;
constexpr std::array<std::string_view, 6> colours = {"#3b6fb6", "#7ea6d9", "#c0703a", "#e0ab82", "#5a8f4e", "#9a9a9a"};

double yOfShare(double share)
{
    return top + plotHeight * (1 - share);
}

void writeText(std::ostream &out, double x, double y, std::string_view anchor, std::string_view text)
{
    out << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor << "\">" << text << "</text>\n";
}

void writeLine(std::ostream &out, double x1, double y1, double x2, double y2, std::string_view colour)
{
    out << "<line x1=\"" << x1 << "\" y1=\"" << y1 << "\" x2=\"" << x2 << "\" y2=\"" << y2 << "\" stroke=\"" << colour << "\"/>\n";
}

void writeBar(std::ostream &out, double x, const Estimate &credit, std::string_view colour)
{
    const double y = yOfShare(credit.mean);
    out << "<rect x=\"" << x << "\" y=\"" << y << "\" width=\"" << barWidth << "\" height=\"" << yOfShare(0) - y << "\" fill=\"" << colour << "\"/>\n";
    const double middle = x + barWidth / 2;
    const double high = yOfShare(credit.mean + credit.margin);
    const double low = yOfShare(credit.mean - credit.margin);
    writeLine(out, middle, high, middle, low, "#222");
    writeLine(out, middle - intervalCapHalfWidth, high, middle + intervalCapHalfWidth, high, "#222");
    writeLine(out, middle - intervalCapHalfWidth, low, middle + intervalCapHalfWidth, low, "#222");
}

void writeGrid(std::ostream &out, double width)
{
    for (double share = 0; share < 1 + gridStep / 2; share += gridStep) {
        writeLine(out, left, yOfShare(share), width, yOfShare(share), "#ddd");
        std::ostringstream label;
        label << std::fixed << std::setprecision(1) << share;
        writeText(out, left - intervalCapHalfWidth, yOfShare(share) + intervalCapHalfWidth, "end", label.str());
    }
}

}

std::string comparisonPlot(const Comparison &comparison)
{
    const auto policies = static_cast<double>(comparison.policies().size());
    const double groupWidth = policies * barWidth + groupGap;
    const double width = left + groupWidth * static_cast<double>(comparison.scenarios().size()) + groupGap;
    const double height = top + plotHeight + bottom;
    std::ostringstream out;
    out << std::fixed << std::setprecision(1);
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    writeText(out, left, top / 3, "start", "Credit earned / credit owed, mean and 95% confidence interval");
    writeGrid(out, width);
    for (std::size_t policy = 0; policy < comparison.policies().size(); ++policy) {
        const double x = left + legendStep * static_cast<double>(policy);
        out << "<rect x=\"" << x << "\" y=\"" << top / 2 << "\" width=\"10\" height=\"10\" fill=\"" << colours[policy % colours.size()] << "\"/>\n";
        writeText(out, x + 14, top / 2 + 10, "start", comparison.policies()[policy].name);
    }
    for (std::size_t scenario = 0; scenario < comparison.scenarios().size(); ++scenario) {
        const double start = left + groupGap / 2 + groupWidth * static_cast<double>(scenario);
        for (std::size_t policy = 0; policy < comparison.policies().size(); ++policy) {
            const Estimate credit = comparison.cell(scenario, policy).metricEstimate([](const CreditReport &report) {
                return report.all.credit;
            });
            writeBar(out, start + barWidth * static_cast<double>(policy), credit, colours[policy % colours.size()]);
        }
        writeText(out, start + policies * barWidth / 2, yOfShare(0) + bottom / 2, "middle", comparison.scenarios()[scenario].name);
    }
    out << "</svg>\n";
    return out.str();
}

}
