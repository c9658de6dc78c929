#include "plot.h"

#include <gtest/gtest.h>

using namespace rattanrack::cli;

TEST(Plot, EscapesNames)
{
    const std::string text = svg(LinePlot { "a<b", "x", "y", { { "\"s\" & t", { { 0, 1 }, { 1, 2 } } } } });
    EXPECT_NE(text.find("a&lt;b"), std::string::npos);
    EXPECT_NE(text.find("&quot;s&quot; &amp; t"), std::string::npos);
}

TEST(Plot, DrawsWithoutPoints)
{
    EXPECT_EQ(svg(LinePlot {}).find("nan"), std::string::npos);
    EXPECT_EQ(svg(BarPlot {}).find("nan"), std::string::npos);
}
