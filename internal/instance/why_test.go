package instance

import (
	"testing"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"oxbowsaddle/internal/wire"
)

// Guards against leaving out decisions on which entries disagree, and recorded ones.
func TestSameRecomputation(t *testing.T) {
	g := gomega.NewWithT(t)
	now := &wire.Decision{Entry: "a", Subject: "s", Action: "forward", Reason: "by_settled", Endpoint: "e1", Index: 4, Active: 4, Recomputed: true}
	other := func(change func(*wire.Decision)) *wire.Decision {
		d := proto.CloneOf(now)
		d.Entry = "b"
		change(d)
		return d
	}
	g.Expect(sameRecomputation(now, other(func(*wire.Decision) {}))).To(gomega.BeTrue())
	for name, change := range map[string]func(*wire.Decision){
		"recorded": func(d *wire.Decision) { d.Recomputed = false },
		"endpoint": func(d *wire.Decision) { d.Endpoint = "e2" },
		"reason":   func(d *wire.Decision) { d.Reason = "by_record" },
		"action":   func(d *wire.Decision) { d.Action = "drop" },
		"index":    func(d *wire.Decision) { d.Index = 3 },
		"active":   func(d *wire.Decision) { d.Active = 3 },
		"hops":     func(d *wire.Decision) { d.Hops = []string{"elsewhere"} },
	} {
		g.Expect(sameRecomputation(now, other(change))).To(gomega.BeFalse(), name)
	}
}
