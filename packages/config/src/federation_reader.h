#pragma once

#include "rattanrack/config/section.h"

#include "rattanrack/config/federation.h"

#include <map>
#include <set>
#include <string>

namespace rattanrack::config {

/// Reads one base and then overlays into a federation, and checks what spans several parts of it.
class FederationReader {
public:
    explicit FederationReader(Diagnostics& diagnostics)
        : m_diagnostics(diagnostics)
    {
    }

    void readBase(const std::string& file, const YamlNode& root);
    void readOverlay(const std::string& file, const YamlNode& root);

    Federation takeFederation() { return std::move(m_federation); }

private:
    void readTop(Section& top);
    void readTeam(Section& section);
    void readPoolDefinition(Section& section);
    void readSite(Section& section);
    void readSitePools(Section& section, Site& site);
    void readSitePool(Section& section, Site& site);
    void checkKinds(Section& section, const Pool& pool);
    void checkMayBorrow(Section& section, const Pool& pool);
    void checkBorrowing(Section& top);
    void reportDuplicate(Section& section, std::string_view key, const std::string& kind, const std::string& name);

    Diagnostics& m_diagnostics;
    Federation m_federation;
    bool m_isBudgetRead { false };
    std::set<std::string> m_names; ///< "team x" and so on, to find what is defined twice.
    std::map<WorkKind, PoolId> m_poolOfKind;
    std::map<DataCenterId, std::string> m_overlayOfSite; ///< File of each site's overlay.
    std::set<std::string> m_adjusted; ///< Pools that the section being read has adjusted so far.
};

} // namespace rattanrack::config
