#include "plot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace rattanrack::cli {

namespace {

constexpr double width = 820;
constexpr double lineHeight = 300;
constexpr double left = 70;
constexpr double right = 190;
constexpr double top = 34;
constexpr double bottom = 46;
constexpr double barStep = 24;
constexpr double barLeft = 230;
constexpr int xTicks = 6;
constexpr int maxXTicks = 24;
constexpr int yTicks = 5;

constexpr std::array<std::string_view, 8> colors { "#0b6e99", "#c8553d", "#4f772d", "#7b4b94", "#b8860b", "#3d405b",
    "#2a9d8f", "#8d5524" };

std::string number(double value) { return shortNumber(value, 6); }

std::string textAt(double x, double y, std::string_view anchor, std::string_view text)
{
    return "<text x=\"" + number(x) + "\" y=\"" + number(y) + "\" text-anchor=\"" + std::string { anchor } + "\">"
        + escapeHtml(text) + "</text>\n";
}

std::string line(double x1, double y1, double x2, double y2, std::string_view color)
{
    return "<line x1=\"" + number(x1) + "\" y1=\"" + number(y1) + "\" x2=\"" + number(x2) + "\" y2=\"" + number(y2)
        + "\" stroke=\"" + std::string { color } + "\"/>\n";
}

std::string open(double height, const std::string& title)
{
    return "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 " + number(width) + " " + number(height)
        + "\" width=\"" + number(width) + "\" role=\"img\">\n<title>" + escapeHtml(title)
        + "</title>\n<text x=\"0\" y=\"16\" class=\"title\">" + escapeHtml(title) + "</text>\n";
}

/// The next of 1, 2, 2.5 and 5 times a power of ten that is at least `value`.
double roundUp(double value)
{
    if (value <= 0)
        return 1;
    const double power = std::pow(10, std::floor(std::log10(value)));
    for (const double step : { 1.0, 2.0, 2.5, 5.0 }) {
        if (value <= step * power)
            return step * power;
    }
    return 10 * power;
}

struct Frame {
    double maxX { 1 };
    double maxY { 1 };

    double x(double value) const { return left + value / maxX * (width - left - right); }
    double y(double value) const { return lineHeight - bottom - value / maxY * (lineHeight - top - bottom); }
};

Frame frameOf(const LinePlot& plot)
{
    Frame frame { 0, 0 };
    for (const PlotSeries& series : plot.series) {
        for (const PlotPoint& point : series.points) {
            frame.maxX = std::max(frame.maxX, point.x);
            frame.maxY = std::max(frame.maxY, point.y);
        }
    }
    frame.maxX = frame.maxX > 0 ? frame.maxX : 1;
    frame.maxY = roundUp(frame.maxY);
    return frame;
}

std::string axes(const LinePlot& plot, const Frame& frame)
{
    std::string text;
    for (int tick = 0; tick <= yTicks; ++tick) {
        const double value = frame.maxY * tick / yTicks;
        text += line(left, frame.y(value), width - right, frame.y(value), "#ddd");
        text += textAt(left - 6, frame.y(value) + 4, "end", shortNumber(value));
    }
    const double step = plot.xStep > 0 ? plot.xStep : roundUp(frame.maxX / xTicks);
    for (int tick = 0; tick <= maxXTicks && tick * step <= frame.maxX; ++tick)
        text += textAt(frame.x(tick * step), lineHeight - bottom + 16, "middle", shortNumber(tick * step, 3));
    text += line(left, frame.y(0), width - right, frame.y(0), "#444");
    text += textAt((left + width - right) / 2, lineHeight - 8, "middle", plot.xLabel);
    text += "<text transform=\"translate(14 " + number(lineHeight / 2) + ") rotate(-90)\" text-anchor=\"middle\">"
        + escapeHtml(plot.yLabel) + "</text>\n";
    return text;
}

std::string curve(const PlotSeries& series, const Frame& frame, std::string_view color)
{
    std::string points;
    for (const PlotPoint& point : series.points)
        points += number(frame.x(point.x)) + "," + number(frame.y(point.y)) + " ";
    return "<polyline fill=\"none\" stroke=\"" + std::string { color } + "\" stroke-width=\"1.6\" points=\"" + points
        + "\"/>\n";
}

std::string legendEntry(std::size_t index, const std::string& name, std::string_view color)
{
    const double y = top + 8 + static_cast<double>(index) * 18;
    const double x = width - right + 14;
    return "<rect x=\"" + number(x) + "\" y=\"" + number(y - 8) + "\" width=\"12\" height=\"8\" fill=\""
        + std::string { color } + "\"/>\n" + textAt(x + 18, y, "start", name);
}

} // namespace

std::string svg(const LinePlot& plot)
{
    const Frame frame = frameOf(plot);
    std::string text = open(lineHeight, plot.title) + axes(plot, frame);
    for (std::size_t index = 0; index < plot.series.size(); ++index) {
        const std::string_view color = colors[index % colors.size()];
        text += curve(plot.series[index], frame, color) + legendEntry(index, plot.series[index].name, color);
    }
    return text + "</svg>\n";
}

std::string svg(const BarPlot& plot)
{
    constexpr double valueRoom = 120;
    double largest = 0;
    for (const Bar& bar : plot.bars)
        largest = std::max({ largest, bar.value, bar.limit });
    const double scale = (width - barLeft - valueRoom) / roundUp(largest);
    std::string text = open(top + barStep * static_cast<double>(plot.bars.size()) + 8, plot.title);
    for (std::size_t index = 0; index < plot.bars.size(); ++index) {
        const Bar& bar = plot.bars[index];
        const double y = top + barStep * static_cast<double>(index);
        const bool isOver = bar.limit > 0 && bar.value > bar.limit;
        text += textAt(barLeft - 8, y + 13, "end", bar.label);
        text += "<rect x=\"" + number(barLeft) + "\" y=\"" + number(y) + "\" width=\"" + number(bar.value * scale)
            + "\" height=\"16\" fill=\"" + std::string { isOver ? colors[1] : colors[0] } + "\"/>\n";
        if (bar.limit > 0)
            text += line(barLeft + bar.limit * scale, y - 3, barLeft + bar.limit * scale, y + 19, "#222");
        const double end = std::max(bar.value, bar.limit) * scale;
        text += textAt(barLeft + end + 6, y + 13, "start", shortNumber(bar.value) + " " + plot.unit);
    }
    return text + "</svg>\n";
}

std::string escapeHtml(std::string_view text)
{
    std::string escaped;
    for (const char each : text) {
        switch (each) {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += each;
        }
    }
    return escaped;
}

std::string htmlPage(const std::string& title, const std::string& body)
{
    return "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>" + escapeHtml(title)
        + "</title>\n<style>body{font:14px/1.45 sans-serif;margin:24px auto;max-width:900px;color:#222}"
          "h1{font-size:22px}h2{font-size:17px;margin-top:28px}table{border-collapse:collapse;margin:8px 0}"
          "td,th{padding:3px 12px 3px 0;text-align:left;border-bottom:1px solid #ddd}"
          "svg{display:block;margin:18px 0;max-width:100%}svg text{font:11px sans-serif;fill:#333}"
          "svg text.title{font:bold 13px sans-serif}</style></head>\n<body><h1>"
        + escapeHtml(title) + "</h1>\n" + body + "</body></html>\n";
}

std::string htmlTable(const std::vector<std::vector<std::string>>& rows)
{
    std::string text = "<table>\n";
    for (std::size_t index = 0; index < rows.size(); ++index) {
        const std::string tag = index == 0 ? "th" : "td";
        text += "<tr>";
        for (const std::string& cell : rows[index]) {
            text += "<" + tag + ">";
            text += escapeHtml(cell) + "</" + tag + ">";
        }
        text += "</tr>\n";
    }
    return text + "</table>\n";
}

std::string shortNumber(double number, int digits)
{
    std::array<char, 48> buffer {};
    std::snprintf(buffer.data(), buffer.size(), "%.*g", digits, number);
    return buffer.data();
}

} // namespace rattanrack::cli
