#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace rattanrack::fuzz {

/// Makes malformed texts from whole ones: the same sequence for the same seed.
class Mutator {
public:
    Mutator(std::vector<std::string> wholeTexts, std::uint64_t seed)
        : m_wholeTexts(std::move(wholeTexts))
        , m_random(seed)
    {
    }

    std::string next()
    {
        std::string text = pick(m_wholeTexts);
        for (auto rounds = below(4); rounds > 0; --rounds)
            change(text);
        return text;
    }

private:
    std::size_t below(std::size_t bound) { return m_random() % bound; }

    const std::string& pick(const std::vector<std::string>& texts) { return texts[below(texts.size())]; }

    void change(std::string& text)
    {
        static const std::vector<std::string> s_fragments { "-1", "1e999", "18446744073709551616", "null", "\"", "{",
            "]", "\\u0000", "\xff", "\xc3", "[[[[", "\r\n", "Content-Length: 99999999999999999999\r\n", "true",
            "Transfer-Encoding: chunked\r\n" };
        const auto at = below(text.size() + 1);
        switch (below(5)) {
        case 0:
            text.resize(at);
            break;
        case 1:
            text.insert(at, pick(s_fragments));
            break;
        case 2:
            text.erase(at, below(8));
            break;
        case 3:
            if (at < text.size())
                text[at] = static_cast<char>(m_random());
            break;
        default:
            text += text.substr(at);
        }
    }

    std::vector<std::string> m_wholeTexts;
    std::mt19937_64 m_random;
};

} // namespace rattanrack::fuzz
