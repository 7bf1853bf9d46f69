package document

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDocument(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "document")
}

func valid() Config {
	return Config{
		Version: 7, IdleTimeout: 15 * time.Second, Source: []byte("as sent"),
		Services: []Service{{Name: "booking", HealthPath: "/health", Connections: 2000}, {Name: "documents"}},
		Routes: []Route{
			{
				Name: "r1", Addr: netip.MustParseAddrPort("198.18.0.1:443"), Repeatable: true, Timeout: time.Second,
				TargetLatency: time.Millisecond, Priority: 2, Shares: []Share{{"booking", 90}, {"documents", 10}},
			},
			{Name: "r2", Addr: netip.MustParseAddrPort("198.18.0.1:80"), Timeout: time.Second, Shares: []Share{{"documents", 1}}},
		},
	}
}

var _ = Describe("a Document", func() {
	It("survives encoding and decoding", func() {
		d, faults := New(valid())
		Expect(faults).To(BeEmpty())
		back, err := FromMessage(d.Message())
		Expect(err).NotTo(HaveOccurred())
		Expect(back).To(Equal(d))
	})

	DescribeTable("is rejected, with the location of the fault, if it has", func(mutate func(*Config), fault string) {
		c := valid()
		mutate(&c)
		d, faults := New(c)
		Expect(d).To(BeNil())
		Expect(faults).To(ContainElement(ContainSubstring(fault)))
	},
		Entry("an unknown service", func(c *Config) { c.Routes[1].Shares[0].Service = "other" }, `routes[1] "r2": service "other" is not known`),
		Entry("the same address twice", func(c *Config) { c.Routes[1].Addr = c.Routes[0].Addr }, `also belongs to route "r1"`),
		Entry("no timeout", func(c *Config) { c.Routes[0].Timeout = 0 }, `routes[0] "r1": timeout`),
		Entry("no weight", func(c *Config) { c.Routes[0].Shares[1].Weight = 0 }, `service "documents" has no weight`),
		Entry("no service", func(c *Config) { c.Routes[0].Shares = nil }, "names no service"),
		Entry("no address", func(c *Config) { c.Routes[0].Addr = netip.AddrPort{} }, "no valid address"),
		Entry("a service twice", func(c *Config) { c.Services[1].Name = "booking" }, `services[1]: name "booking" is duplicated`),
		Entry("a service without a name", func(c *Config) { c.Services[1].Name = "" }, "services[1]: name is empty"),
	)

	It("reports every fault, not only the first", func() {
		c := valid()
		c.Routes[0].Timeout, c.Routes[1].Timeout = 0, 0
		_, faults := New(c)
		Expect(faults).To(HaveLen(2))
	})
})
