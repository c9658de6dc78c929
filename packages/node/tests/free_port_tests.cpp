#include "free_port.h"

#include <gtest/gtest.h>

#include <set>

using namespace rattanrack::node::tests;

TEST(FreePort, IsNotHandedOutTwiceAndNotByTheSystem)
{
    constexpr int count = 100;
    std::set<int> ports;
    for (int number = 0; number < count; ++number) {
        const int port = freePort();
        EXPECT_GE(port, firstTestPort);
        EXPECT_LE(port, lastTestPort);
        ports.insert(port);
    }
    EXPECT_EQ(ports.size(), static_cast<std::size_t>(count));
}
