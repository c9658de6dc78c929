#include "rattanrack/jobs/cell_quotas.h"

#include "resource_math.h"

#include <algorithm>

namespace rattanrack::jobs {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t maxRowsInTransaction = 40;
constexpr Duration readPeriod = 1s; ///< To learn that another cell is short of what this one does not need.
constexpr Duration contestedReadPeriod = 250ms;
constexpr Duration retryPause = 100ms;
constexpr Duration transactionPause = 20ms;
constexpr Duration shortReportPause = 200ms; ///< Between two changes of `unit` alone.
constexpr Duration excessPeriod = 1s; ///< Demand that ends for less than this keeps its allotment.
constexpr Duration freshPeriod = 500ms; ///< What a cell has just got is not returned before it could start something.
/// A short cell reads the table twice in this time.
constexpr Duration unclaimedPeriod = 600ms;
constexpr std::int64_t headroomDivisor = 4; ///< One part of this many is taken beyond the need.
constexpr std::int64_t leastChangeDivisor = 50; ///< Changes below one part of this many of the quota wait.

} // namespace

CellQuotas::CellQuotas(PoolId cell, Fence term)
    : m_cell(std::move(cell))
    , m_term(term)
{
}

void CellQuotas::configure(const QuotaCells& cells)
{
    m_cells = cells;
    m_cells.count = std::max<std::size_t>(cells.count, 1);
    m_isConfigured = true;
}

bool CellQuotas::hasEntries() const
{
    return m_isInFlight
        || std::any_of(m_rows.begin(), m_rows.end(), [&](const auto& each) { return ownEntry(each.second).term > 0; });
}

bool CellQuotas::isReadDue(TimePoint now) const
{
    return m_isConfigured && !m_isReadInFlight && !m_isReplaced && now >= m_nextReadAt;
}

void CellQuotas::onReadSent(TimePoint now)
{
    m_isReadInFlight = true;
    m_nextReadAt = now + (isAnyContested() ? contestedReadPeriod : readPeriod);
}

void CellQuotas::onReadFailed(TimePoint now)
{
    m_isReadInFlight = false;
    m_nextReadAt = now + retryPause;
}

/// A transaction may have succeeded since the read was sent: only newer versions are adopted.
void CellQuotas::onRead(const RowPage& page, TimePoint now)
{
    m_isReadInFlight = false;
    m_hasRead = true;
    std::map<std::string, const PartRow*> found;
    for (const PartRow& row : page.rows)
        found.emplace(row.row.key, &row);
    for (auto& [key, row] : m_rows) {
        if (!found.contains(key))
            clearIfNewer(row, page.version);
    }
    for (const auto& [key, row] : found)
        adoptIfNewer(m_rows[key], row->version, row->value);
    if (isAnyContested())
        m_nextReadAt = std::min(m_nextReadAt, now + contestedReadPeriod);
}

void CellQuotas::adoptIfNewer(Row& row, RowVersion version, const std::string& value)
{
    if (version <= row.latestSeen)
        return;
    row.version = row.latestSeen = version;
    const auto decoded = valueOrNothing([&] { return decodeQuotaRow(value); });
    row.isMalformed = !decoded;
    row.stored = decoded.value_or(QuotaRow {});
    m_isReplaced = m_isReplaced || ownEntry(row).term > m_term;
}

void CellQuotas::clearIfNewer(Row& row, RowVersion removedBy)
{
    if (removedBy <= row.latestSeen)
        return;
    row.version = 0;
    row.latestSeen = removedBy;
    row.stored = {};
    row.isMalformed = false;
}

QuotaAllotment CellQuotas::ownEntry(const Row& row) const
{
    for (const QuotaAllotment& each : row.stored.allotments) {
        if (each.cell == m_cell)
            return each;
    }
    return { m_cell };
}

bool CellQuotas::isOwnTerm(const Row& row) const { return ownEntry(row).term == m_term; }

ResourceSize CellQuotas::grantedOfOthers(const Row& row) const
{
    ResourceSize total;
    for (const QuotaAllotment& each : row.stored.allotments) {
        if (each.cell != m_cell)
            total += each.granted;
    }
    return total;
}

bool CellQuotas::isAnotherShort(const Row& row) const
{
    return std::any_of(row.stored.allotments.begin(), row.stored.allotments.end(),
        [&](const QuotaAllotment& each) { return each.cell != m_cell && each.isShort(); });
}

/// Whether the cell keeps no more than it needs: another cell is short, or a lowered quota is below what is granted.
bool CellQuotas::isContested(const Row& row, const ResourceSize& quota) const
{
    const ResourceSize granted = sum(grantedOfOthers(row), ownEntry(row).granted);
    return isAnotherShort(row) || isAnyAbove(limitedPart(granted, quota), quota);
}

bool CellQuotas::isAnyContested() const
{
    return std::any_of(m_rows.begin(), m_rows.end(),
        [&](const auto& each) { return isAnotherShort(each.second) || ownEntry(each.second).isShort(); });
}

/// Cells that have a part of the quota or are short of one, with the own one.
std::size_t CellQuotas::activeCells(const Row& row) const
{
    const auto others
        = std::count_if(row.stored.allotments.begin(), row.stored.allotments.end(), [&](const QuotaAllotment& each) {
              return each.cell != m_cell && (each.isShort() || each.granted != ResourceSize {});
          });
    return static_cast<std::size_t>(others) + 1;
}

/// What may run on workers that have not been contacted. Without an entry of the owner before, all of it may.
ResourceSize CellQuotas::unknownUse(const Row& row, const ResourceSize& uncontacted) const
{
    return row.inherited ? smaller(uncontacted, *row.inherited) : uncontacted;
}

/// The most that the cell may have while another one is short: an equal part among the active cells. What the others
/// leave for some time is taken all the same, since a cell without an owner stays short. If what the cell that has been
/// short for longest could start is larger than its part, it goes before the others, and then behind them.
ResourceSize CellQuotas::mostWhileContested(
    const Row& row, const CustomerUse& use, const ResourceSize& free, TimePoint now) const
{
    const ResourceSize granted = ownEntry(row).granted;
    const ResourceSize part = partOf(use.quota, activeCells(row));
    const auto first = std::find_if(row.stored.allotments.begin(), row.stored.allotments.end(),
        [](const QuotaAllotment& each) { return each.isShort(); });
    const bool isFirstLarge = first != row.stored.allotments.end() && isAnyAbove(first->unit, part);
    if (isFirstLarge && first->cell == m_cell)
        return larger(part, sum(use.used, first->unit));
    if (isFirstLarge)
        return smaller(part, remainder(use.quota, sum(first->granted, first->unit)));
    const bool isUnclaimed = row.freeSince != TimePoint {} && now - row.freeSince >= unclaimedPeriod;
    return isUnclaimed ? larger(part, sum(granted, free)) : part;
}

/// The entry that the cell should have. `unknown`: what may run on workers that have not been contacted.
QuotaAllotment CellQuotas::desired(Row& row, const CustomerUse& use, const ResourceSize& unknown, TimePoint now) const
{
    const ResourceSize& quota = use.quota;
    const ResourceSize used = limitedPart(sum(use.used, unknown), quota);
    const ResourceSize need = smaller(limitedPart(sum(used, use.waiting), quota), larger(quota, used));
    const ResourceSize ample
        = smaller(forEachResource([](std::int64_t amount) { return amount + amount / headroomDivisor; }, need), quota);
    const QuotaAllotment own = ownEntry(row);
    const ResourceSize granted = limitedPart(own.granted, quota);
    const ResourceSize free = remainder(remainder(quota, grantedOfOthers(row)), granted);
    const bool isContested = this->isContested(row, quota);
    const ResourceSize fair = m_cells.isOwnConfigured ? partOf(quota, m_cells.count) : ResourceSize {};
    const ResourceSize kept = isContested ? need : larger(ample, fair);
    const ResourceSize reachable = smaller(kept, sum(granted, free));
    const bool isExcess = isAnyAbove(granted, kept);
    row.excessSince = !isExcess ? TimePoint {} : row.excessSince == TimePoint {} ? now : row.excessSince;
    row.freeSince = free == ResourceSize {} ? TimePoint {} : row.freeSince == TimePoint {} ? now : row.freeSince;
    const bool mayReturn = isContested ? now - row.grownAt >= freshPeriod : now - row.excessSince >= excessPeriod;
    ResourceSize target = isExcess && mayReturn ? reachable : larger(granted, reachable);
    if (isContested)
        target = smaller(target, limitedPart(mostWhileContested(row, use, free, now), quota));
    // Runs that are there already count, also beyond the quota, so that the other cells start nothing in their place.
    target = larger(target, used);
    const ResourceSize unit = smaller(limitedPart(use.unit, quota), quota);
    const bool isShort
        = use.unit != ResourceSize {} && isAnyAbove(smaller(sum(used, unit), larger(quota, used)), target);
    return { m_cell, m_term, target, isShort ? unit : ResourceSize {} };
}

bool CellQuotas::isChangeDue(const Row& row, const QuotaAllotment& next, const CustomerUse& use, TimePoint now) const
{
    const QuotaAllotment own = ownEntry(row);
    const bool isKept = next.granted != ResourceSize {} || next.isShort();
    if ((own.term > 0 && own.term < m_term) || (isKept && row.stored.version < m_cells.version))
        return true;
    const ResourceSize need = limitedPart(sum(use.used, use.waiting), use.quota);
    if (isAnyAbove(smaller(need, next.granted), own.granted))
        return true;
    const auto isLarge = [](std::int64_t before, std::int64_t after, std::int64_t quota) {
        const std::int64_t change = std::abs(after - before);
        const bool isReturned = after == 0 && before > 0;
        return change > 0 && (isReturned || change >= quota / leastChangeDivisor);
    };
    if (anyResource(isLarge, own.granted, next.granted, use.quota))
        return true;
    return next.isShort() != own.isShort() && now - row.shortReportedAt >= shortReportPause;
}

/// The entry keeps its place while the cell stays short without getting more.
void CellQuotas::addChange(const RowKey& key, Row& row, const QuotaAllotment& next, const ResourceSize& quota)
{
    row.next = next;
    QuotaRow changed = row.stored;
    if (!isRowLater(row)) {
        changed.version = m_cells.version;
        changed.quota = quota;
    }
    std::vector<QuotaAllotment>& allotments = changed.allotments;
    const auto own = std::find_if(
        allotments.begin(), allotments.end(), [&](const QuotaAllotment& each) { return each.cell == m_cell; });
    const bool isKept = next.granted != ResourceSize {} || next.isShort();
    const bool hasPlace
        = own != allotments.end() && own->isShort() && next.isShort() && !isAnyAbove(next.granted, own->granted);
    if (hasPlace && isKept) {
        *own = next;
    } else {
        if (own != allotments.end())
            allotments.erase(own);
        if (isKept)
            allotments.push_back(next);
    }
    m_transaction.conditions.push_back({ key, row.version });
    m_transaction.writes.push_back({ key, allotments.empty() ? std::nullopt : std::optional { encode(changed) } });
}

bool CellQuotas::isRowLater(const Row& row) const { return row.stored.version > m_cells.version; }

/// Whether no owner can grant more than the quota that this one knows, or a later one.
bool CellQuotas::hasQuotaInForce(const Row& row, const CustomerUse& use) const
{
    return isRowLater(row) || row.stored.quota == use.quota;
}

CustomerUse CellQuotas::withLatestQuota(const Row& row, CustomerUse use) const
{
    if (isRowLater(row))
        use.quota = row.stored.quota;
    return use;
}

std::optional<PartTransaction> CellQuotas::nextTransaction(
    const std::vector<CustomerUse>& uses, const ResourceSize& uncontacted, TimePoint now)
{
    if (!m_isConfigured || !m_hasRead || m_isReplaced || m_isSending || now < m_nextTransactionAt)
        return std::nullopt;
    if (m_isInFlight) {
        m_isSending = true;
        return m_transaction;
    }
    m_transaction = { quotaPart, {}, {} };
    std::map<std::string, bool> isLimited;
    for (const CustomerUse& configured : uses) {
        const RowKey key = quotaRowKey(configured.customer);
        isLimited[key.key] = true;
        Row& row = m_rows[key.key];
        if (row.isMalformed)
            continue;
        const CustomerUse use = withLatestQuota(row, configured);
        const QuotaAllotment own = ownEntry(row);
        if (own.term > 0 && own.term < m_term)
            row.inherited = larger(row.inherited.value_or(ResourceSize {}), own.granted);
        const ResourceSize unknown = row.inherited ? unknownUse(row, uncontacted) : ResourceSize {};
        const QuotaAllotment next = desired(row, use, unknown, now);
        row.target = isAnyAbove(own.granted, next.granted) ? std::optional { next.granted } : std::nullopt;
        const bool isFull = m_transaction.writes.size() >= maxRowsInTransaction;
        if (!isFull && isChangeDue(row, next, use, now))
            addChange(key, row, next, use.quota);
    }
    for (auto& [key, row] : m_rows) {
        const bool isFull = m_transaction.writes.size() >= maxRowsInTransaction;
        if (!isFull && !isLimited.contains(key) && ownEntry(row).term > 0)
            addChange({ quotaTable, key }, row, { m_cell, m_term, {}, {} }, row.stored.quota);
    }
    if (m_transaction.writes.empty())
        return std::nullopt;
    m_isInFlight = m_isSending = true;
    m_mayTakeEffect = false;
    return m_transaction;
}

void CellQuotas::adoptOutcome(const TransactionOutcome& outcome, TimePoint now)
{
    for (const RowWrite& write : m_transaction.writes) {
        Row& row = m_rows[write.row.key];
        const QuotaAllotment before = ownEntry(row);
        if (row.next && row.next->isShort() != before.isShort())
            row.shortReportedAt = now;
        if (row.next && isAnyAbove(row.next->granted, before.granted))
            row.grownAt = now;
        if (write.value)
            adoptIfNewer(row, outcome.version, *write.value);
        else
            clearIfNewer(row, outcome.version);
    }
}

/// A row that a read has shown in a later version than the one that the transaction expected stays as it was read.
void CellQuotas::adoptConflict(const TransactionOutcome& outcome)
{
    for (const RowCondition& condition : m_transaction.conditions) {
        Row& row = m_rows[condition.row.key];
        const auto isOfRow = [&](const PartRow& each) { return each.row.key == condition.row.key; };
        const bool isPresent = std::any_of(outcome.current.begin(), outcome.current.end(), isOfRow);
        if (!isPresent && row.version == condition.version) {
            row.version = 0;
            row.stored = {};
        }
    }
    for (const PartRow& current : outcome.current)
        adoptIfNewer(m_rows[current.row.key], current.version, current.value);
}

void CellQuotas::onOutcome(const TransactionOutcome& outcome, TimePoint now)
{
    m_isSending = false;
    m_nextTransactionAt = now + transactionPause;
    switch (outcome.status) {
    case TransactionStatus::Done:
        adoptOutcome(outcome, now);
        break;
    case TransactionStatus::Conflict:
        adoptConflict(outcome);
        break;
    case TransactionStatus::Refused:
    case TransactionStatus::Unavailable:
    case TransactionStatus::Unknown:
        m_nextTransactionAt = now + retryPause;
        m_mayTakeEffect = m_mayTakeEffect || outcome.status == TransactionStatus::Unknown;
        if (m_mayTakeEffect)
            return; // The same transaction is sent again: its conditions keep it from taking effect twice.
        break;
    }
    m_isInFlight = false;
    for (auto& [key, row] : m_rows)
        row.next.reset();
}

ResourceSize CellQuotas::granted(const CustomerId& customer) const
{
    const auto found = m_rows.find(quotaRowKey(customer).key);
    return found == m_rows.end() ? ResourceSize {} : ownEntry(found->second).granted;
}

CustomerLimit CellQuotas::limitOf(const CustomerUse& configured, const ResourceSize& uncontacted) const
{
    const auto found = m_rows.find(quotaRowKey(configured.customer).key);
    const bool isKnown = found != m_rows.end();
    const CustomerUse use = isKnown ? withLatestQuota(found->second, configured) : configured;
    const auto withUnlimited = [&](const ResourceSize& limit) {
        return forEachResource(
            [](std::int64_t amount, std::int64_t all) { return all > 0 ? amount : unlimitedCount; }, limit, use.quota);
    };
    if (!isKnown || m_isReplaced || found->second.isMalformed || !isOwnTerm(found->second))
        return { withUnlimited({}), false };
    const Row& row = found->second;
    const ResourceSize unknown = unknownUse(row, uncontacted);
    const bool mayBeUnrecorded = !row.inherited && unknown != ResourceSize {};
    if (mayBeUnrecorded || !hasQuotaInForce(row, use))
        return { withUnlimited({}), false };
    ResourceSize granted = ownEntry(row).granted;
    if (m_isInFlight && row.next)
        granted = smaller(granted, row.next->granted);
    granted = smaller(granted, remainder(use.quota, grantedOfOthers(row)));
    if (row.target)
        granted = smaller(granted, *row.target);
    const bool isWhole = !isAnyAbove(use.quota, granted) && limitedPart(unknown, use.quota) == ResourceSize {};
    return { withUnlimited(remainder(granted, unknown)), isWhole };
}

} // namespace rattanrack::jobs
