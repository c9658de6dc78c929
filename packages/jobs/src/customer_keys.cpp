#include "rattanrack/jobs/customer_keys.h"

#include <xxhash.h>

#include <algorithm>
#include <map>

namespace rattanrack::jobs {

namespace {

/// Compares all bytes whichever of them differ.
bool areEqual(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    unsigned difference = 0;
    for (std::size_t at = 0; at < left.size(); ++at)
        difference |= static_cast<unsigned char>(left[at]) ^ static_cast<unsigned char>(right[at]);
    return difference == 0;
}

} // namespace

CustomerKeys::CustomerKeys(const std::vector<CustomerKey>& keys, std::uint64_t seed)
    : m_seed(seed)
{
    std::map<CustomerId, std::uint32_t> indexes;
    m_entries.reserve(keys.size());
    for (const CustomerKey& each : keys) {
        const auto [index, isNew] = indexes.emplace(each.customer, static_cast<std::uint32_t>(m_customers.size()));
        if (isNew)
            m_customers.push_back(each.customer);
        m_entries.push_back({ hashOf(each.key), index->second, static_cast<std::uint32_t>(m_text.size()),
            static_cast<std::uint32_t>(each.key.size()) });
        m_text += each.key;
    }
    m_text.shrink_to_fit();
    std::sort(m_entries.begin(), m_entries.end(),
        [](const Entry& left, const Entry& right) { return left.hash < right.hash; });
}

const CustomerId* CustomerKeys::find(std::string_view key) const
{
    if (key.empty())
        return nullptr;
    const Hash hash = hashOf(key);
    const auto isLess = [](const Entry& entry, const Hash& wanted) { return entry.hash < wanted; };
    for (auto found = std::lower_bound(m_entries.begin(), m_entries.end(), hash, isLess);
         found != m_entries.end() && found->hash == hash; ++found) {
        if (areEqual(textOf(*found), key))
            return &m_customers[found->customer];
    }
    return nullptr;
}

CustomerKeys::Hash CustomerKeys::hashOf(std::string_view key) const
{
    const XXH128_hash_t hash = XXH3_128bits_withSeed(key.data(), key.size(), m_seed);
    return { hash.high64, hash.low64 };
}

std::string_view CustomerKeys::textOf(const Entry& entry) const
{
    return std::string_view { m_text }.substr(entry.textBegin, entry.textSize);
}

} // namespace rattanrack::jobs
