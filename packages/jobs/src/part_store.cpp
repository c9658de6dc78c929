#include "rattanrack/jobs/part_store.h"

#include <algorithm>
#include <iterator>

namespace rattanrack::jobs {

Result<RowPage> readAll(PartStore& store, const std::string& table, const std::string& part)
{
    RowPage all;
    RowRange range { table, part, {} };
    while (true) {
        BOOST_LEAF_AUTO(page, store.read(range));
        if (all.version == 0)
            all.version = page.version;
        std::move(page.rows.begin(), page.rows.end(), std::back_inserter(all.rows));
        if (!page.hasMore || page.rows.empty())
            return all;
        range.from = all.rows.back().row.key + '\0';
    }
}

} // namespace rattanrack::jobs
