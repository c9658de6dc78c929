#include "large_federation.h"

#include "rattanrack/config/load.h"

#include <gtest/gtest.h>

using namespace rattanrack::config;

TEST(LargeFederation, FitsTheReadersBounds)
{
    const Federation federation = largeFederation();
    const std::string document = serialize(federation);
    EXPECT_LT(document.size(), 512U << 10U);
    const auto parsed = parse(document);
    ASSERT_TRUE(parsed.isValid()) << describe(parsed.diagnostics());
    EXPECT_EQ(parsed.value(), federation);
}
