package setter_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"bramleyshunt/decoder"
	"bramleyshunt/setter"
)

// Guards against settings that a program writes and that a process then refuses: the strict
// decoder takes no null where an object is wanted.
func TestWrittenSettingsCanBeRead(t *testing.T) {
	g := NewWithT(t)
	for _, want := range []setter.Setter{{Node: "a"}, {Node: "a", Zones: map[string]string{"z1": "eu"}}} {
		want.Roles, want.Keepers = []string{setter.RoleEntry}, []setter.Keeper{{Node: "k"}}
		data, err := json.Marshal(want)
		g.Expect(err).NotTo(HaveOccurred())
		var got setter.Setter
		g.Expect(decoder.Decode("s.json", data, &got)).To(Succeed())
		g.Expect(got).To(Equal(want))
	}
}
