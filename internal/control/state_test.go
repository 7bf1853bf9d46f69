package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"oxbowsaddle/internal/wire"
)

const (
	templateBody = `{"parameters":{"balance":{"default":0.8,"min":0.5}}}`
	teamBody     = `{"template":"portal","services":["booking"],"first":["reservation"],"parameters":{"idle":"2s"}}`
)

func serviceBody(endpoints int, leaving string) string {
	body := `{"classes":[{"name":"feed","address":"192.0.2.10:443","protocol":"tcp","kind":"flow"},` +
		`{"name":"reservation","address":"192.0.2.10:5683","protocol":"udp","kind":"work"}],"endpoints":[`
	for i := range endpoints {
		if i > 0 {
			body += ","
		}
		name := fmt.Sprintf("b%d", i)
		body += fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:%d","domain":"plateau","slots":3,"connections":2000,"leaving":%v}`,
			name, 9000+i, name == leaving)
	}
	return body + "]}"
}

func object(kind, name, body string) *wire.Object {
	return &wire.Object{Kind: kind, Name: name, Body: []byte(body)}
}

func change(id string, base uint64, objects ...*wire.Object) *wire.Command {
	return &wire.Command{UnixNano: time.Unix(1000, 0).UnixNano(), Body: &wire.Command_Change{
		Change: &wire.Change{Id: id, Author: "amina", Base: base, Objects: objects},
	}}
}

func apply(t interface{ Fatal(...any) }, s *State, c *wire.Command) Answer {
	data, err := proto.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := s.Apply(s.Index()+1, data)
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

func newStateWithService(t interface{ Fatal(...any) }, endpoints int) *State {
	s := NewState()
	a := apply(t, s, change("one", 0, object("template", "portal", templateBody),
		object("service", "booking", serviceBody(endpoints, "")), object("team", "visa", teamBody)))
	if a.Outcome != Accepted {
		t.Fatal(a)
	}
	return s
}

func TestConcurrentChangesConflict(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newStateWithService(t, 3)
	base := s.Revision()
	g.Expect(apply(t, s, change("a", base, object("service", "booking", serviceBody(4, "")))).Outcome).To(gomega.Equal(Accepted))
	rejected := apply(t, s, change("b", base, object("service", "booking", serviceBody(5, ""))))
	g.Expect(rejected.Outcome).To(gomega.Equal(Conflict))
	g.Expect(rejected.Detail).To(gomega.ContainSubstring("amina"))
	g.Expect(rejected.Detail).To(gomega.ContainSubstring("endpoints[4]"))
	g.Expect(apply(t, s, change("a", base, object("service", "booking", serviceBody(4, "")))).Outcome).To(gomega.Equal(AlreadyAccepted))
}

func TestAllFaultsAreReported(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newStateWithService(t, 3)
	bad := `{"classes":[{"name":"x","address":"192.0.2.10:443","protocol":"sctp","kind":"flow"}],` +
		`"endpoints":[{"name":"","address":"127.0.0.1:9000","domain":"","slots":0,"connections":1}]}`
	a := apply(t, s, change("bad", s.Revision(), object("service", "other", bad), object("team", "visa", `{"template":"none","services":["other","missing"],"parameters":{"idle":3,"frob":1}}`)))
	g.Expect(a.Outcome).To(gomega.Equal(Invalid))
	g.Expect(len(a.Faults)).To(gomega.BeNumerically(">=", 9), "%v", a.Faults)
	g.Expect(s.Table().Service(2)).To(gomega.BeNil(), "an invalid change is not applied")
}

func TestEmptyingServiceNeedsConfirmation(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newStateWithService(t, 1)
	c := change("empty", s.Revision(), object("service", "booking", serviceBody(1, "b0")))
	g.Expect(apply(t, s, c).Outcome).To(gomega.Equal(NeedsConfirmation))
	c.GetChange().Confirmed = true
	g.Expect(apply(t, s, c).Outcome).To(gomega.Equal(Accepted))
}

func TestRemovedEndpointStaysUntilItsBucketsAreSettled(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newStateWithService(t, 2)
	move := func(endpoint uint32) {
		m := &wire.Moves{}
		for b := range uint32(s.Table().Service(1).BucketCount()) {
			m.Moves = append(m.Moves, &wire.Move{Service: 1, Bucket: b, Endpoint: endpoint})
		}
		apply(t, s, &wire.Command{Body: &wire.Command_Moves{Moves: m}})
	}
	move(2)
	g.Expect(apply(t, s, change("rm", s.Revision(), object("service", "booking", serviceBody(1, "")))).Outcome).To(gomega.Equal(Accepted))
	g.Expect(s.Table().Endpoint(2).Leaving()).To(gomega.BeTrue())
	move(1)
	buckets := make([]uint32, s.Table().Service(1).BucketCount())
	for b := range buckets {
		buckets[b] = uint32(b)
	}
	apply(t, s, &wire.Command{Body: &wire.Command_Settle{Settle: &wire.Settle{Service: 1, Buckets: buckets}}})
	g.Expect(s.Table().Endpoint(2)).To(gomega.BeNil())
	g.Expect(s.Table().Endpoint(1)).NotTo(gomega.BeNil())
}

// Restoring snapshots between commands must give the same state as applying
// all commands.
func TestSnapshotEqualsReplay(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		replayed := newStateWithService(rt, 4)
		restored := newStateWithService(rt, 4)
		for i := range rapid.IntRange(1, 25).Draw(rt, "commands") {
			c := drawCommand(rt, i, replayed)
			apply(rt, replayed, c)
			apply(rt, restored, c)
			if rapid.Bool().Draw(rt, "restore") {
				data, err := restored.Snapshot()
				if err != nil {
					rt.Fatal(err)
				}
				if restored, err = Restore(data); err != nil {
					rt.Fatal(err)
				}
			}
		}
		a, errA := replayed.Snapshot()
		b, errB := restored.Snapshot()
		if errA != nil || errB != nil || string(a) != string(b) {
			rt.Fatalf("snapshots differ: %v %v", errA, errB)
		}
	})
}

func drawCommand(rt *rapid.T, i int, s *State) *wire.Command {
	base := s.Revision()
	if rapid.Bool().Draw(rt, "stale") {
		base = 0
	}
	switch rapid.IntRange(0, 4).Draw(rt, "kind") {
	case 0:
		leaving := fmt.Sprintf("b%d", rapid.IntRange(0, 3).Draw(rt, "leaving"))
		body := serviceBody(rapid.IntRange(1, 6).Draw(rt, "endpoints"), leaving)
		return change(fmt.Sprint("c", i%7), base, object("service", "booking", body))
	case 1:
		m := &wire.Move{Service: 1, Bucket: rapid.Uint32Range(0, 255).Draw(rt, "bucket"), Endpoint: rapid.Uint32Range(1, 6).Draw(rt, "endpoint")}
		return &wire.Command{Body: &wire.Command_Moves{Moves: &wire.Moves{Moves: []*wire.Move{m}}}}
	case 2:
		settle := &wire.Settle{Service: 1, Buckets: []uint32{rapid.Uint32Range(0, 255).Draw(rt, "bucket")}}
		return &wire.Command{Body: &wire.Command_Settle{Settle: settle}}
	case 3:
		m := &wire.Members{Joined: []*wire.Member{{Name: fmt.Sprint("e", i%3), Domain: "plateau", Incarnation: uint64(i)}}, Left: []string{fmt.Sprint("e", i%2)}}
		return &wire.Command{Body: &wire.Command_Members{Members: m}}
	default:
		return &wire.Command{Body: &wire.Command_Suspect{Suspect: &wire.Suspect{Domain: "plateau", Returned: i%2 == 0, Cleared: i%3 == 0, Lost: i%5 == 0}}}
	}
}

// A command whose index does not follow the last one must change nothing.
func TestOutOfOrderCommandsAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newStateWithService(t, 3)
	before, err := s.Snapshot()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	data, err := proto.Marshal(change("again", 0, object("service", "booking", serviceBody(5, ""))))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, index := range []uint64{0, s.Index(), s.Index() + 2} {
		_, err := s.Apply(index, data)
		g.Expect(err).To(gomega.HaveOccurred(), "index %d", index)
	}
	after, err := s.Snapshot()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(after).To(gomega.Equal(before))
}
