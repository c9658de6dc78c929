#include "play.h"

/// Links of single daemons with single workers, and daemons that the store turns away.
namespace rattanrack::tools {

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

void Play::performOnWorkerLinks(const Step& step)
{
    const Node* owner = ownerOf(step.target % poolNames.size());
    for (Node& node : m_nodes) {
        const bool isOwner = &node == owner;
        if (isOwner == (step.action == Action::OwnerWorkerLink))
            trouble(*node.workerLinks[step.target], step, m_workers[step.target]->id() + " of " + node.daemon->name(),
                false);
    }
}

} // namespace rattanrack::tools
