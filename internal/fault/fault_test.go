package fault

import (
	"errors"
	"testing"

	"github.com/onsi/gomega"
)

func TestEveryKindHasANameAndExitCode(t *testing.T) {
	g := gomega.NewWithT(t)
	codes := map[int]Kind{}
	for k := range kindCount {
		a := k.Answer()
		g.Expect(a.name).NotTo(gomega.BeEmpty())
		g.Expect(a.NextStep()).NotTo(gomega.BeEmpty())
		g.Expect(codes).NotTo(gomega.HaveKey(a.ExitCode()), "exit codes are distinct")
		codes[a.ExitCode()] = k
		back, err := FromName(k.Name())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(back).To(gomega.Equal(k))
	}
}

func TestKindSurvivesWrapping(t *testing.T) {
	g := gomega.NewWithT(t)
	err := Wrap(Conflict, errors.New("taken"))
	g.Expect(KindOf(err)).To(gomega.Equal(Conflict))
	g.Expect(KindOf(errors.New("plain"))).To(gomega.Equal(Internal))
	g.Expect(Wrap(Conflict, nil)).To(gomega.Succeed())
}
