package prover_test

import (
	"bytes"
	"os"
	"os/exec"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/commander"
)

// command runs an operator command and returns its exit status and its output.
func (f *fleet) command(args ...string) (int, string) {
	GinkgoHelper()
	var out bytes.Buffer
	cmd := exec.Command(binary, append(args, "--admin", strings.Join(f.admin.Bases, ","), "--token-file", f.path("token"))...)
	cmd.Stdout, cmd.Stderr = &out, &out
	_ = cmd.Run() // the caller checks the exit status
	return cmd.ProcessState.ExitCode(), out.String()
}

// expectCommand fails the test unless the command exits with this status and its
// output contains text.
func (f *fleet) expectCommand(status int, text string, args ...string) {
	GinkgoHelper()
	got, out := f.command(args...)
	Expect(got).To(Equal(status), out)
	Expect(out).To(ContainSubstring(text))
}

var _ = Describe("The operator commands", func() {
	It("apply and show configurations, report conflicts and invalid files, and drain targets", func() {
		f := newFleet(GinkgoTB())
		Expect(os.WriteFile(f.path("token"), []byte(operatorToken+"\n"), 0o600)).To(Succeed())
		engine := f.engine(1)
		f.waitServed(0, "letters")
		f.expectCommand(commander.ExitOK, `"version": 2`, "apply", "--change", "second", f.folder(2))
		f.expectCommand(commander.ExitOK, `"version": 2`, "apply", "--change", "second", "--base", "1", f.folder(2))
		f.expectCommand(commander.ExitRefused, "4001", "apply", "--base", "1", f.folder(3))
		f.expectCommand(commander.ExitInvalid, "10-all.json", "apply", f.folder(-1))
		Eventually(func() string {
			_, out := f.command("show")
			return out
		}).Should(And(ContainSubstring(`"confirmed": true`), ContainSubstring(`"node": "entry-1"`)))
		f.expectCommand(commander.ExitOK, "Leader (lease", "status")
		f.expectCommand(commander.ExitOK, `"role": "Leader"`, "status", "--json")
		f.expectCommand(commander.ExitRefused, "2004", "drain", "nobody")
		f.expectCommand(commander.ExitOK, "", "drain", engine)
		f.admin.Token = "wrong"
		Expect(os.WriteFile(f.path("token"), []byte("wrong"), 0o600)).To(Succeed())
		f.expectCommand(commander.ExitRefused, "1003", "show")
	})
})
