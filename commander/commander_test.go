package commander_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"bramleyshunt/commander"
)

func TestCommander(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "commander")
}

// run carries out a command line that ends by itself.
func run(args ...string) (status int, stdout, stderr string) {
	var out, errs bytes.Buffer
	status = commander.Run(context.Background(), args, &out, &errs)
	return status, out.String(), errs.String()
}

func expectRun(args []string, status int, text string) {
	GinkgoHelper()
	got, stdout, stderr := run(args...)
	Expect(got).To(Equal(status), stderr)
	Expect(stdout + stderr).To(ContainSubstring(text))
}

// file writes text to a file in a folder of its own.
func file(name, text string) string {
	GinkgoHelper()
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

const meadow = "../platform/testdata/site.toml"

var _ = Describe("the command line", func() {
	DescribeTable("tells usage by its exit status",
		func(status int, text string, args ...string) { expectRun(args, status, text) },
		Entry("help", commander.ExitOK, "Serve prompts", "--help"),
		Entry("no command", commander.ExitOK, "Available Commands"),
		Entry("an unknown command", commander.ExitInvalid, "unknown command", "serve"),
		Entry("an unknown flag", commander.ExitInvalid, "unknown flag", "demo", "--faults"),
		Entry("an argument too many", commander.ExitInvalid, "accepts 0 arg(s)", "demo", "x"),
		Entry("an argument too few", commander.ExitInvalid, "accepts 1 arg(s)", "check"),
		Entry("run without settings", commander.ExitInvalid, "--settings", "run"),
		Entry("run with settings that are missing", commander.ExitInvalid, "read settings", "run", "--settings", "none.json"),
		Entry("a folder that is missing", commander.ExitInvalid, "none", "check", "none"),
		Entry("an engine of an unknown kind", commander.ExitInvalid, "want engine or plain", "engine", "--kind", "x"),
		Entry("a load without a target", commander.ExitInvalid, "--entries", "load"),
		Entry("an operator without a token", commander.ExitInvalid, "--token-file", "show"),
		Entry("a bench without a site", commander.ExitInvalid, "read site", "bench"),
		Entry("a bench of an unknown policy", commander.ExitInvalid, "no policy", "bench", "--site", meadow, "--day", "calm", "--policy", "best"),
		Entry("a bench without an unknown part", commander.ExitInvalid, "no part", "bench", "--site", meadow, "--day", "calm", "--without", "Luck"),
		Entry("a bench", commander.ExitOK, "| ours without Fill | ", "bench", "--site", meadow, "--day", "calm", "--without", "Fill", "--seeds", "1"),
		Entry("a check of a platform file that is missing", commander.ExitInvalid, "none", "platform", "check", "none"),
		Entry("completion", commander.ExitOK, "bash completion", "completion", "bash"),
	)

	DescribeTable("refuses settings with their position",
		func(text, want string) {
			path := file("s.jsonc", text)
			expectRun([]string{"run", "--settings", path}, commander.ExitInvalid, path+want)
		},
		Entry("an unknown key", "{\n  \"rolez\": []\n}", ":2:3: unknown key"),
		Entry("a wrong type", `{"node": 7}`, ":1:10: "),
		Entry("no JSON", "{", ":1:"),
	)

	It("refuses a fleet key that is too short", func() {
		path := file("s.json", `{"node": "a", "roles": ["entry"], "key": "`+file("key", "short")+`"}`)
		expectRun([]string{"run", "--settings", path}, commander.ExitInvalid, "fleet key of 5 bytes")
	})

	It("refuses settings without keepers or with an unknown role", func() {
		key := file("key", "0123456789abcdef")
		path := file("s.json", `{"node": "a", "roles": ["entry"], "key": "`+key+`"}`)
		expectRun([]string{"run", "--settings", path}, commander.ExitInvalid, "keepers")
		path = file("s.json", `{"node": "a", "roles": ["king"], "key": "`+key+`", "keepers": [{"node": "k", "address": "127.0.0.1:1"}]}`)
		expectRun([]string{"run", "--settings", path}, commander.ExitInvalid, `unknown role "king"`)
	})

	It("prints the merged folder of an example", func() {
		status, stdout, stderr := run("check", filepath.Join("..", "examples", "laufspur"))
		Expect(status).To(Equal(commander.ExitOK), stderr)
		goldie.New(GinkgoTB()).Assert(GinkgoTB(), "check", []byte(stdout))
	})

	It("tells every fault of a folder with its position", func() {
		dir := filepath.Dir(file("10.json", "{\n  \"services\": {\"a\": {\"kind\": \"motor\"}},\n  \"limitz\": {}\n}"))
		expectRun([]string{"check", dir}, commander.ExitInvalid, "10.json:3:3: unknown key")
	})
})
