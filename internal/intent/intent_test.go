package intent

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"oxbowsaddle/examples"
)

func TestExamplesAreValid(t *testing.T) {
	for _, user := range []string{"visa", "qasr"} {
		g := gomega.NewWithT(t)
		data, err := examples.Files.ReadFile(user + "/intent.jsonc")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		objects, err := ParseFile(data)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		d, err := ReadDocument(objects)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(d.Check()).To(gomega.BeEmpty())
	}
}

func TestUnknownFieldsAreFaults(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := ParseFile([]byte(`{"servces": {}}`))
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("servces")))
	d := NewDocument()
	g.Expect(d.Put(KindTeam, "a", []byte(`{"colour": 1}`))).NotTo(gomega.Succeed())
}

func TestWarningsNameAnEmptiedService(t *testing.T) {
	g := gomega.NewWithT(t)
	before, after := NewDocument(), NewDocument()
	one := `{"classes":[],"endpoints":[{"name":"a","address":"127.0.0.1:1","domain":"d","slots":1,"connections":1%s}]}`
	g.Expect(before.Put(KindService, "s", fmt.Appendf(nil, one, ""))).To(gomega.Succeed())
	g.Expect(after.Put(KindService, "s", fmt.Appendf(nil, one, `,"leaving":true`))).To(gomega.Succeed())
	g.Expect(Warnings(before, after, []string{"s"})).To(gomega.HaveLen(1))
	g.Expect(Warnings(after, after, []string{"s"})).To(gomega.BeEmpty())
}

func FuzzParseFile(f *testing.F) {
	f.Add([]byte(`{"teams": {"a": {"template": "t", "services": []}}} // end`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		objects, err := ParseFile(data)
		if err != nil {
			return
		}
		if d, err := ReadDocument(objects); err == nil {
			d.Check()
		}
	})
}

// TestCheckObjectsMatchesCheck guards against faults that are missed when only the
// changed objects are checked.
func TestCheckObjectsMatchesCheck(t *testing.T) {
	g := gomega.NewWithT(t)
	service := `{"classes":[{"name":"c","address":"192.0.2.%d:443","protocol":"tcp","kind":"flow"}],` +
		`"endpoints":[{"name":"a","address":"127.0.0.1:%d","domain":"d","slots":1,"connections":1}]}`
	d := NewDocument()
	g.Expect(d.Put(KindTemplate, "t", []byte(`{"parameters":{}}`))).To(gomega.Succeed())
	g.Expect(d.Put(KindService, "one", fmt.Appendf(nil, service, 1, 1))).To(gomega.Succeed())
	g.Expect(d.Put(KindTeam, "a", []byte(`{"template":"t","services":["one"]}`))).To(gomega.Succeed())
	g.Expect(d.Check()).To(gomega.BeEmpty())

	taken := d.Clone()
	g.Expect(taken.Put(KindService, "two", fmt.Appendf(nil, service, 1, 1))).To(gomega.Succeed())
	g.Expect(taken.Put(KindTeam, "b", []byte(`{"template":"t","services":["one"]}`))).To(gomega.Succeed())
	g.Expect(taken.CheckObjects(nil, []string{"two"}, []string{"b"})).To(gomega.HaveLen(3))
	g.Expect(taken.Check()).To(gomega.HaveLen(3))

	swapped := d.Clone()
	g.Expect(swapped.Put(KindService, "two", fmt.Appendf(nil, service, 1, 1))).To(gomega.Succeed())
	g.Expect(swapped.Put(KindService, "one", fmt.Appendf(nil, service, 2, 2))).To(gomega.Succeed())
	g.Expect(swapped.CheckObjects(nil, []string{"one", "two"}, nil)).To(gomega.BeEmpty(), "an address released in the same change may be claimed")
	g.Expect(d.Check()).To(gomega.BeEmpty(), "changing a clone must not change the original")
}
