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

// run executes a command line whose command ends without a signal.
func run(args ...string) (status int, stdout, stderr string) {
	var out, errs bytes.Buffer
	status = commander.Run(context.Background(), nil, args, &out, &errs)
	return status, out.String(), errs.String()
}

func expectRun(args []string, status int, text string) {
	GinkgoHelper()
	got, stdout, stderr := run(args...)
	Expect(got).To(Equal(status), stderr)
	Expect(stdout + stderr).To(ContainSubstring(text))
}

// writeTemp writes text to a file in a new temporary folder and returns its path.
func writeTemp(name, text string) string {
	GinkgoHelper()
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

const sitePath = "../platform/testdata/site.toml"

var _ = Describe("the command line", func() {
	DescribeTable("exits with the status that fits the usage",
		func(status int, text string, args ...string) { expectRun(args, status, text) },
		Entry("help", commander.ExitOK, "Serve prompts", "--help"),
		Entry("no command", commander.ExitOK, "Available Commands"),
		Entry("an unknown command", commander.ExitInvalid, "unknown command", "serve"),
		Entry("an unknown flag", commander.ExitInvalid, "unknown flag", "demo", "--faults"),
		Entry("one argument too many", commander.ExitInvalid, "accepts 0 arg(s)", "demo", "x"),
		Entry("one argument too few", commander.ExitInvalid, "accepts 1 arg(s)", "check"),
		Entry("run without settings", commander.ExitInvalid, "--settings", "run"),
		Entry("run with a missing settings file", commander.ExitInvalid, "read settings", "run", "--settings", "none.json"),
		Entry("check of a missing folder", commander.ExitInvalid, "none", "check", "none"),
		Entry("engine of an unknown kind", commander.ExitInvalid, "want engine or plain", "engine", "--kind", "x"),
		Entry("load without entries", commander.ExitInvalid, "--entries", "load"),
		Entry("show without a token", commander.ExitInvalid, "--token-file", "show"),
		Entry("evacuate without a zone", commander.ExitInvalid, "accepts 1 arg(s)", "evacuate"),
		Entry("evacuate without a token", commander.ExitInvalid, "--token-file", "evacuate", "a"),
		Entry("evacuate with an unknown flag", commander.ExitInvalid, "unknown flag", "evacuate", "a", "--stop"),
		Entry("the flags of evacuate", commander.ExitOK, "--force", "evacuate", "--help"),
		Entry("bench without a site", commander.ExitInvalid, "read site", "bench"),
		Entry("bench of an unknown policy", commander.ExitInvalid, "no policy", "bench", "--site", sitePath, "--day", "calm", "--policy", "best"),
		Entry("bench of unknown holds", commander.ExitInvalid, "no holds", "bench", "--site", sitePath, "--day", "calm", "--holds", "loose"),
		Entry("bench with an unknown part switched off", commander.ExitInvalid, "no part", "bench", "--site", sitePath, "--day", "calm", "--without", "luck"),
		Entry("platform with an unknown part switched off", commander.ExitInvalid, "there are first-fit, split-prefill", "platform", "--without", "luck"),
		Entry("the parts that can be switched off", commander.ExitOK, "split-prefill     split long prompts", "platform", "--help"),
		Entry("bench with targets that leave and pause", commander.ExitOK, "| ours, holds ignored | ", "bench", "--site", sitePath, "--day", "calm", "--policy", "ours", "--leaving", "1", "--pausing", "2", "--holds", "ignored", "--seeds", "1"),
		Entry("bench with a part switched off", commander.ExitOK, "| ours without first-fit | ", "bench", "--site", sitePath, "--day", "calm", "--without", "first-fit", "--seeds", "1"),
		Entry("platform check of a missing file", commander.ExitInvalid, "none", "platform", "check", "none"),
		Entry("losses of a missing file", commander.ExitInvalid, "none", "losses", "none"),
		Entry("losses with an invalid step", commander.ExitInvalid, "invalid argument", "losses", "--step", "x"),
		Entry("completion", commander.ExitOK, "bash completion", "completion", "bash"),
	)

	DescribeTable("reports the position of a fault in the settings",
		func(text, want string) {
			path := writeTemp("s.jsonc", text)
			expectRun([]string{"run", "--settings", path}, commander.ExitInvalid, path+want)
		},
		Entry("an unknown key", "{\n  \"rolez\": []\n}", ":2:3: unknown key"),
		Entry("a wrong type", `{"node": 7}`, ":1:10: "),
		Entry("truncated JSON", "{", ":1:"),
	)

	It("shows where callers lost time in logs", func() {
		first := writeTemp("a.log", `12.5 entry-1 {"msg":"request answered","time":"2026-12-04T10:00:01.000Z","ms":900,"prompt":5000,"objective":300,"first":800,"held":600}`)
		second := writeTemp("b.log", `{"msg":"request failed","time":"2026-12-04T10:00:01.500Z","ms":0,"prompt":1,"code":2003,"run":"not-run"}`+"\nnoise\n")
		expectRun([]string{"losses", first, second}, commander.ExitOK, "2 requests, 1 other lines")
		expectRun([]string{"losses", "--json", first}, commander.ExitOK, `"held": 1`)
	})

	It("rejects a fleet key that is too short", func() {
		path := writeTemp("s.json", `{"node": "a", "roles": ["entry"], "key": "`+writeTemp("key", "short")+`"}`)
		expectRun([]string{"run", "--settings", path}, commander.ExitInvalid, "fleet key of 5 bytes")
	})

	It("rejects settings without keepers or with an unknown role", func() {
		key := writeTemp("key", "0123456789abcdef")
		path := writeTemp("s.json", `{"node": "a", "roles": ["entry"], "key": "`+key+`"}`)
		expectRun([]string{"run", "--settings", path}, commander.ExitInvalid, "keepers")
		path = writeTemp("s.json", `{"node": "a", "roles": ["king"], "key": "`+key+`", "keepers": [{"node": "k", "address": "127.0.0.1:1"}]}`)
		expectRun([]string{"run", "--settings", path}, commander.ExitInvalid, `unknown role "king"`)
	})

	It("prints the merged configuration of an example folder", func() {
		status, stdout, stderr := run("check", filepath.Join("..", "examples", "laufspur"))
		Expect(status).To(Equal(commander.ExitOK), stderr)
		goldie.New(GinkgoTB()).Assert(GinkgoTB(), "check", []byte(stdout))
	})

	It("reports the position of a fault in a folder", func() {
		dir := filepath.Dir(writeTemp("10.json", "{\n  \"services\": {\"a\": {\"kind\": \"motor\"}},\n  \"limitz\": {}\n}"))
		expectRun([]string{"check", dir}, commander.ExitInvalid, "10.json:3:3: unknown key")
	})
})
