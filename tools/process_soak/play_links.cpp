#include "cell_owner.h"
#include "play.h"

/// Links of daemons with the store, with workers and with each other, and daemons that the store turns away.
namespace rattanrack::tools {

namespace {

const char* nameOf(LinkMode mode)
{
    constexpr const char* names[] = { "pass", "delay", "silence", "resets", "cut answers" };
    return names[static_cast<std::size_t>(mode)];
}

} // namespace

void Play::trouble(LoopbackProxy& link, const Step& step, const LinkName& name)
{
    const std::size_t number
        = m_recorder.beginTrouble(name.kind + ' ' + nameOf(step.mode), name.target, name.isOfNode, false);
    link.setMode(step.mode);
    later(step.length, [this, &link, number] {
        link.setMode(LinkMode::Pass);
        m_recorder.endTrouble(number);
    });
}

void Play::troubleStoreLink(Node& node, const Step& step)
{
    trouble(*node.storeLink, step, { "store link", node.daemon->name(), true });
}

void Play::troublePeerLink(Node& node, const Step& step)
{
    trouble(*node.peerLink, step, { "peer link", node.daemon->name(), true });
}

/// The node reads addresses of its own for the workers.
void Play::addWorkerLinks(Node& node)
{
    std::vector<std::pair<std::string, std::string>> addresses;
    for (std::size_t number = 0; number < m_workers.size(); ++number) {
        const std::string& shared = m_workerLinks[number]->address();
        node.workerLinks.push_back(std::make_unique<LoopbackProxy>(shared));
        addresses.emplace_back('"' + shared + '"', '"' + node.workerLinks.back()->address() + '"');
    }
    node.store->workerRowView = [addresses](std::string value) {
        for (const auto& [shared, own] : addresses) {
            const std::size_t found = value.find(shared);
            if (found != std::string::npos)
                return value.replace(found, shared.size(), own);
        }
        return value;
    };
}

void Play::turnAway(std::atomic<bool>& isUnavailable, const Step& step, const std::string& target)
{
    const std::size_t number = m_recorder.beginTrouble("store turns away", target, true, false);
    isUnavailable = true;
    later(step.length, [this, &isUnavailable, number] {
        isUnavailable = false;
        m_recorder.endTrouble(number);
    });
}

Play::Node* Play::ownerOf(std::size_t pool)
{
    std::vector<std::string> logs;
    for (const Node& node : m_nodes)
        logs.push_back(node.daemon->logPath());
    const auto owner = cellOwner(logs, poolNames[pool]);
    return owner ? &m_nodes[*owner] : nullptr;
}

void Play::performOnWorkerLinks(const Step& step)
{
    const Node* owner = ownerOf(step.target % poolNames.size());
    for (Node& node : m_nodes) {
        const bool isOwner = &node == owner;
        if (isOwner == (step.action == Action::OwnerWorkerLink))
            trouble(*node.workerLinks[step.target], step,
                { "worker link", m_workers[step.target]->id() + " of " + node.daemon->name() });
    }
}

} // namespace rattanrack::tools
