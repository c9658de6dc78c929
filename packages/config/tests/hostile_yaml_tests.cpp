#include "rattanrack/config/load.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace rattanrack::config;

namespace {

std::string firstMistake(const std::string& text)
{
    const auto parsed = parse(text);
    if (parsed.isValid())
        return "valid";
    return describe(parsed.diagnostics().front());
}

std::string repeated(const std::string& part, std::size_t times)
{
    std::string text;
    for (std::size_t index = 0; index < times; ++index)
        text += part;
    return text;
}

} // namespace

TEST(HostileYaml, DeepFlowNesting)
{
    EXPECT_EQ(firstMistake(repeated("[", 100) + repeated("]", 100)), "document:1:17: nested deeper than 16 levels");
}

TEST(HostileYaml, ManyOpenBrackets)
{
    EXPECT_NE(firstMistake(repeated("[", 1'000'000)).find("nested deeper than 16 levels"), std::string::npos);
}

TEST(HostileYaml, DeepBlockNesting)
{
    EXPECT_EQ(firstMistake(repeated("- ", 1000) + "a\n"), "document:1:33: nested deeper than 16 levels");
}

TEST(HostileYaml, AliasBomb)
{
    EXPECT_EQ(firstMistake("a: &a [x, x]\nb: [*a, *a]\n"), "document:1:4: anchors are not allowed");
    EXPECT_EQ(firstMistake("a: *b\n").substr(0, 13), "document:1:4:");
}

TEST(HostileYaml, Tag) { EXPECT_EQ(firstMistake("a: !!binary x\n"), "document:1:4: tags are not allowed"); }

TEST(HostileYaml, TooLarge)
{
    EXPECT_EQ(firstMistake(std::string(2U << 20U, 'a')), "document: has 2097152 bytes, expected at most 1048576");
}

TEST(HostileYaml, TooManyValues)
{
    EXPECT_EQ(firstMistake("[" + repeated("a,", 250'000) + "]"), "document:1:1: more than 200000 values");
}

TEST(HostileYaml, BinaryBytes)
{
    EXPECT_EQ(firstMistake(std::string { "a: b\nc: \0d", 10 }), "document:2:4: control character, expected text");
}

TEST(HostileYaml, EmptyAndScalarDocuments)
{
    EXPECT_EQ(firstMistake(""), "document:1:1: empty, expected a map");
    EXPECT_EQ(firstMistake("hello"), "document:1:1: expected a map");
}

TEST(HostileYaml, SecondDocument)
{
    EXPECT_EQ(firstMistake("a: 1\n---\nb: 1\n"), "document:1:1: more than one document, expected one");
}

TEST(HostileYaml, UnfinishedSyntax) { EXPECT_EQ(firstMistake("a: [1\n").substr(0, 9), "document:"); }

TEST(HostileYaml, KeyThatIsNotText)
{
    const auto parsed = parse("? [a]\n: b\n");
    EXPECT_NE(describe(parsed.diagnostics()).find("document:1:3: a key must be plain text\n"), std::string::npos);
}

RC_GTEST_PROP(HostileYaml, AnyTextEndsInAVerdict, (const std::string& text))
{
    const auto parsed = parse(text);
    RC_ASSERT(parsed.isValid() == parsed.diagnostics().empty());
}

RC_GTEST_PROP(HostileYaml, AnyMixOfSyntaxEndsInAVerdict, ())
{
    const auto parts = *rc::gen::container<std::vector<std::string>>(
        rc::gen::element<std::string>("a", ": ", "- ", "[", "]", "{", "}", "\n", "  ", "pools", "&a ", "*a", "!x ",
            "? ", "| ", "'", "\"", "#", ",", "---\n", "name", "sites:", "\t"));
    std::string text;
    for (const std::string& part : parts)
        text += part;
    RC_ASSERT(!parse(text).isValid());
}
