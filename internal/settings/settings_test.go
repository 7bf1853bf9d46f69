package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"oxbowsaddle/internal/fault"
)

const validSettings = `{
  // one instance on loopback
  "hash_key": "000102030405060708090a0b0c0d0e0f",
  "fabric": "127.0.0.1:6000",
  "instances": [
    {"name": "a", "domain": "plateau", "packets": "127.0.0.1:7001", "control": "127.0.0.1:8001", "data": "data/a"},
  ],
  "times": {"beat": "200ms"},
}`

func TestParseValid(t *testing.T) {
	g := gomega.NewWithT(t)
	s, faults := Parse([]byte(validSettings))
	g.Expect(faults).To(gomega.BeEmpty())
	g.Expect(s.Times.HeartbeatInterval.Std().Milliseconds()).To(gomega.Equal(int64(200)))
	g.Expect(s.Limits.MaxFlows).To(gomega.Equal(Default().Limits.MaxFlows), "fields that are not set keep their defaults")
	g.Expect(s.Voters()).To(gomega.Equal([]string{"a"}))
}

func TestParseReportsAllFaults(t *testing.T) {
	invalid := `{
  "hash_key": "short",
  "fabric": "nowhere",
  "colour": "green",
  "instances": [
    {"name": "a", "domain": "plateau", "packets": "127.0.0.1:7001", "control": "127.0.0.1:8001", "data": "d"},
    {"name": "a", "domain": "", "packets": "127.0.0.1:7001", "control": "10.0.0.1:8001"},
  ],
  "limits": {"flows": -1, "records": "many"},
  "times": {"beat": "2s", "probe": "often"},
  "log": {"level": "loud"},
}`
	g := gomega.NewWithT(t)
	_, faults := Parse([]byte(invalid))
	want := map[string]int{
		"hash_key": 2, "fabric": 3, "colour": 4, "instances[1].name": 7, "instances[1].domain": 7,
		"instances[1].packets": 7, "instances[1].control": 7, "limits.flows": 9, "limits.records": 9,
		"times.beat": 10, "times.probe": 10, "times.island_after": 10, "log.level": 11,
	}
	got := map[string]int{}
	for _, f := range faults {
		got[f.Field] = f.Line
	}
	g.Expect(got).To(gomega.Equal(want))
}

func TestLoadErrorNamesFile(t *testing.T) {
	g := gomega.NewWithT(t)
	path := filepath.Join(t.TempDir(), "bad.jsonc")
	g.Expect(os.WriteFile(path, []byte(`{"instances": 3}`), 0o600)).To(gomega.Succeed())
	_, err := Load(path)
	g.Expect(fault.KindOf(err)).To(gomega.Equal(fault.InvalidSettings))
	g.Expect(err.Error()).To(gomega.ContainSubstring("bad.jsonc:1: instances: must be a list"))
}

func ExampleParse() {
	_, faults := Parse([]byte(strings.Replace(validSettings, "plateau", "", 1)))
	for _, f := range faults {
		fmt.Println(f)
	}
	// Output: line 6: instances[0].domain: must name a failure domain
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"instances": [null, {}], "times": [], "tls": 3}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, fault := range secondResult(Parse(data)) {
			if fault.Line < 1 {
				t.Fatalf("fault without a line: %v", fault)
			}
		}
	})
}

func secondResult(_ Settings, faults []Fault) []Fault { return faults }
