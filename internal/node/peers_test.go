package node

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"oxbowsaddle/internal/wire"
)

var _ = ginkgo.Describe("the rosters that control instances send to each other", func() {
	ginkgo.It("list all instances at first and periodically, and otherwise only the sender", func() {
		all := rosterOf("a:1", "b:1", "c:1")
		complete := 0
		for n := 1; n <= 4*fullRosterPeriod; n++ {
			roster := rosterToSend(all, n)
			Expect(roster.Instances[0].Address).To(Equal("a:1"))
			if len(roster.Instances) == len(all.Instances) {
				complete++
			} else {
				Expect(roster.Instances).To(HaveLen(1))
			}
		}
		Expect(rosterToSend(all, 1).Instances).To(HaveLen(3))
		Expect(complete).To(Equal(4))
		Expect(fullRosterPeriod*frameInterval).To(BeNumerically("<=", time.Second), "a voter must be listed within a second")
	})

	ginkgo.It("may be empty while the disk has failed", func() {
		Expect(rosterToSend(rosterOf(), 2).Instances).To(BeEmpty())
	})
})

// linesWith returns the logged lines that contain a text.
func linesWith(logged *gbytes.Buffer, text string) (lines []string) {
	for line := range strings.Lines(string(logged.Contents())) {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// Guards against log lines that hide why a link ended.
var _ = ginkgo.Describe("the end of a link between control instances", func() {
	var logged *gbytes.Buffer
	var control *runningControl
	ginkgo.BeforeEach(func() {
		logged = gbytes.NewBuffer()
		logger := log.NewWithOptions(logged, log.Options{Formatter: log.LogfmtFormatter})
		control = newFleet(61, 1, 1, ginkgo.GinkgoT().TempDir, logger, DialTCP)[0]
	})

	ginkgo.It("is logged with the reason if the peer sends nothing", func() {
		silent, err := net.Listen("tcp", netip.AddrPortFrom(control.config.PeerAddr.Addr(), 0).String())
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(silent.Close)
		control.config.Seeds = append(control.config.Seeds, netip.MustParseAddrPort(silent.Addr().String()))
		control.start()
		ginkgo.DeferCleanup(func() { control.stop() })
		Eventually(func() []string { return linesWith(logged, "peer lost") }, settleTimeout).Should(HaveLen(3))
		Expect(linesWith(logged, "peer lost")).To(HaveEach(ContainSubstring("i/o timeout")))
	})

	ginkgo.It("is logged with the reason if a message is too large", func() {
		control.start()
		ginkgo.DeferCleanup(func() { control.stop() })
		var raw net.Conn
		Eventually(func() (err error) {
			raw, err = DialTCP(context.Background(), control.config.PeerAddr.String(), settleTimeout)
			return err
		}, settleTimeout).Should(Succeed())
		stream, closeLink, err := openLink(context.Background(), raw)
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(closeLink)
		_ = stream.Send(helloFrame(&wire.Hello{Id: strings.Repeat("a", 64<<20)})) // fails if the link ends first
		Eventually(func() []string { return linesWith(logged, "link ended") }, settleTimeout).Should(ConsistOf(ContainSubstring("data overflow")))
	})
})

// Guards against links that end whenever no endpoint sends a heartbeat for linkIdleTimeout.
var _ = ginkgo.Describe("the links between control instances", func() {
	ginkgo.It("stay up while nothing changes", func() {
		logged := gbytes.NewBuffer()
		fleet := startFleet(62, 3, 3, ginkgo.GinkgoT().TempDir, log.New(logged))
		ginkgo.DeferCleanup(func() { fleet.stop() })
		fleet.put(1)
		time.Sleep(4 * linkIdleTimeout)
		Expect(linesWith(logged, "peer lost")).To(BeEmpty())
		Expect(linesWith(logged, "peer reached")).To(HaveLen(6))
	})
})
