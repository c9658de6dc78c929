#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace rattanrack::cli {

struct PlotPoint {
    double x { 0 };
    double y { 0 };
};

struct PlotSeries {
    std::string name;
    std::vector<PlotPoint> points; ///< In the order of x.
};

/// A line plot with axes from zero, ticks and a legend.
struct LinePlot {
    std::string title;
    std::string xLabel;
    std::string yLabel;
    std::vector<PlotSeries> series;
    double xStep { 0 }; ///< Between ticks; 0 takes a round one.
};

/// One labelled bar; `limit` draws a mark when above zero.
struct Bar {
    std::string label;
    double value { 0 };
    double limit { 0 };
};

/// Horizontal bars from zero.
struct BarPlot {
    std::string title;
    std::string unit;
    std::vector<Bar> bars;
};

/// Inline SVG without references to anything outside.
std::string svg(const LinePlot& plot);
std::string svg(const BarPlot& plot);

/// `text` with the characters that mean something in HTML escaped.
std::string escapeHtml(std::string_view text);

/// A whole page with a heading, which needs no other file.
std::string htmlPage(const std::string& title, const std::string& body);

/// A table whose first row is the head; cells are escaped.
std::string htmlTable(const std::vector<std::vector<std::string>>& rows);

/// "0.25", "12.5", "1340": at most `digits` significant ones.
std::string shortNumber(double number, int digits = 4);

} // namespace rattanrack::cli
