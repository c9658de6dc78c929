#pragma once

#include <cstdlib>
#include <initializer_list>
#include <vector>

namespace rattanrack::jobs::tests {

/// Seeds of random walks: those from 1 on, and some of later ones.
struct WalkSeeds {
    WalkSeeds(int count, std::initializer_list<int> later = {})
        : count(count)
        , later(later)
    {
    }

    int count { 0 };
    std::vector<int> later;

    /// In place of all of them those that the environment names: RATTANRACK_WALK_FIRST (first seed),
    /// RATTANRACK_WALK_SEEDS (number of seeds).
    std::vector<int> chosen() const
    {
        const char* first = std::getenv("RATTANRACK_WALK_FIRST");
        const char* number = std::getenv("RATTANRACK_WALK_SEEDS");
        const int begin = first ? std::atoi(first) : 1;
        std::vector<int> seeds;
        for (int seed = begin; seed < begin + (number ? std::atoi(number) : count); ++seed)
            seeds.push_back(seed);
        if (!first && !number)
            seeds.insert(seeds.end(), later.begin(), later.end());
        return seeds;
    }
};

} // namespace rattanrack::jobs::tests
