package commander_test

import (
	"fmt"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"bramleyshunt/commander"
)

func checkFile(name string) string { return filepath.Join("testdata", "check", name) }

// Guards against warnings, differences or exit statuses that scripts and people don't expect of
// the commands that check a configuration before it is sent.
var _ = DescribeTable("checking a configuration",
	func(golden string, want int, args ...string) {
		status, stdout, stderr := run(args...)
		Expect(status).To(Equal(want), stderr)
		goldie.New(GinkgoTB()).Assert(GinkgoTB(), golden, []byte(fmt.Sprintf("%s--- standard error\n%s", stdout, stderr)))
	},
	Entry("prints warnings beside the merged folder", "check-warnings", commander.ExitOK, "check", checkFile("new")),
	Entry("prints what differs in place of the merged folder", "check-against", commander.ExitOK,
		"check", "--against", checkFile("in-force"), "--settings", checkFile("settings.json"), checkFile("new")),
	Entry("says that nothing differs", "check-same", commander.ExitOK, "check", "--against", checkFile("in-force"), checkFile("in-force")),
	Entry("prints JSON", "check-json", commander.ExitOK, "check", "--json", "--against", checkFile("in-force"), checkFile("new")),
	Entry("fails for warnings if asked to", "check-strict", commander.ExitInvalid, "check", "--strict", "--against", checkFile("in-force"), checkFile("new")),
	Entry("does not fail without warnings", "check-strict-sound", commander.ExitOK, "check", "--strict", "--against", checkFile("in-force"), checkFile("in-force")),
	Entry("prints errors as JSON", "check-json-errors", commander.ExitInvalid, "platform", "check", "--json", checkFile("settings.json")),
	Entry("of the users' platform prints warnings and differences", "check-platform", commander.ExitOK,
		"platform", "check", "--against", checkFile("platform-in-force.json"), "--settings", checkFile("platform-settings.json"), checkFile("platform-new.json")),
	Entry("of the users' platform prints JSON", "check-platform-json", commander.ExitOK,
		"platform", "check", "--json", "--against", checkFile("platform-in-force.json"), checkFile("platform-new.json")),
	Entry("of the users' platform compares no settings", "check-platform-settings", commander.ExitInvalid,
		"platform", "check", "--against", checkFile("platform-in-force.json"), checkFile("platform-settings.json")),
)
