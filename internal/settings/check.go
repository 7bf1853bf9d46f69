package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"slices"
)

const (
	hashKeyBytes    = 16
	maxVoters       = 6
	minRequestBytes = 64
)

// check adds the faults of values that have the right type.
func (s Settings) check(p *parser) {
	if key, err := hex.DecodeString(s.HashKey); err != nil || len(key) != hashKeyBytes {
		p.addFault("hash_key", "must be %d hexadecimal digits, the same on every instance", 2*hashKeyBytes)
	}
	if !hasAddrAndPort(s.Fabric) {
		p.addFault("fabric", "must be an IP address with a port")
	}
	if s.Platform != "" && !isHTTPWithAddr(s.Platform) {
		p.addFault("platform", "must be an http URL with an IP address")
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level) {
		p.addFault("log.level", "must be debug, info, warn or error")
	}
	s.checkInstances(p)
	s.checkPositive(p)
	s.checkTimes(p)
	s.checkTLS(p)
}

// isHTTPWithAddr reports whether text is an http URL whose host is an IP address. A host name
// would make each poll depend on a name server.
func isHTTPWithAddr(text string) bool {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" {
		return false
	}
	_, err = netip.ParseAddr(u.Hostname())
	return err == nil
}

func hasAddrAndPort(a netip.AddrPort) bool { return a.IsValid() && a.Port() != 0 }

func (s Settings) checkInstances(p *parser) {
	if len(s.Instances) == 0 {
		p.addFault("instances", "must contain at least one instance")
	}
	names, addresses, folders := map[string]int{}, map[netip.AddrPort]string{}, map[string]int{}
	for i, instance := range s.Instances {
		field := fmt.Sprintf("instances[%d]", i)
		if instance.Name == "" {
			p.addFault(field+".name", "must not be empty")
		} else if first, duplicate := names[instance.Name]; duplicate {
			p.addFault(field+".name", "%q is also the name of instances[%d]", instance.Name, first)
		}
		names[instance.Name] = i
		if instance.Domain == "" {
			p.addFault(field+".domain", "must name a failure domain")
		}
		checkAddress(p, field+".packets", instance.PacketAddr, "udp", addresses)
		checkAddress(p, field+".control", instance.ControlAddr, "tcp", addresses)
		if first, duplicate := folders[instance.DataFolder]; duplicate && instance.DataFolder != "" {
			p.addFault(field+".data", "is also the data folder of instances[%d]", first)
		}
		folders[instance.DataFolder] = i
	}
	if n := len(s.Voters()); n > maxVoters || len(s.Instances) > 0 && n == 0 {
		p.addFault("instances", "%d of them have a data folder: 1 to %d must be control instances", n, maxVoters)
	}
}

// checkAddress checks an address that no two fields may share.
func checkAddress(p *parser, field string, a netip.AddrPort, network string, fieldByAddr map[netip.AddrPort]string) {
	if !hasAddrAndPort(a) {
		p.addFault(field, "must be an IP address with a port")
		return
	}
	if other, duplicate := fieldByAddr[a]; duplicate {
		p.addFault(field, "%s %s is also %s", network, a, other)
	}
	fieldByAddr[a] = field
}

// checkPositive checks that every limit and time is positive.
func (s Settings) checkPositive(p *parser) {
	for _, group := range []struct {
		name  string
		value reflect.Value
	}{{"limits", reflect.ValueOf(s.Limits)}, {"times", reflect.ValueOf(s.Times)}} {
		for i := range group.value.NumField() {
			if group.value.Field(i).Int() <= 0 {
				p.addFault(group.name+"."+group.value.Type().Field(i).Tag.Get("json"), "must be more than 0")
			}
		}
	}
	if s.Limits.MaxRequestBytes < minRequestBytes {
		p.addFault("limits.request_bytes", "must be at least %d", minRequestBytes)
	}
}

func (s Settings) checkTimes(p *parser) {
	t := s.Times
	requireShorter := func(field string, short, long Duration, other string) {
		if short >= long {
			p.addFault("times."+field, "%s must be shorter than %s (%s)", short.Std(), other, long.Std())
		}
	}
	requireTwoWithin := func(field string, interval, lease Duration, leaseField string) {
		if interval >= lease-interval { // twice the interval could overflow
			p.addFault("times."+field, "%s must be shorter than half of times.%s (%s), which must cover two heartbeat intervals", interval.Std(), leaseField, lease.Std())
		}
	}
	requireTwoWithin("beat", t.HeartbeatInterval, t.Lease, "lease")
	requireShorter("margin", t.ClockMargin, t.Lease, "times.lease")
	if minimum := t.Lease + 2*t.ClockMargin + 2*t.HeartbeatInterval; t.IsolationDelay < minimum {
		p.addFault("times.island_after", "must be at least %s (lease + 2 margin + 2 beat): sooner, an entry in another failure domain may still have a lease and not have detected the partition", minimum.Std())
	}
	requireShorter("probe", t.ProbeInterval, t.PeerTimeout, "times.heard_for")
	requireTwoWithin("log_heartbeat", t.LogHeartbeatInterval, t.LogLease, "log_lease")
	requireShorter("log_drift", t.LogDrift, t.LogLease, "times.log_lease")
	requireShorter("sweep_every", t.SweepInterval, t.SettleAfter, "times.settle_after")
	requireShorter("check_timeout", t.CheckTimeout, 2*t.CheckInterval, "twice times.check")
}

func (s Settings) checkTLS(p *parser) {
	set := 0
	for _, name := range []string{s.TLS.Certificate, s.TLS.Key, s.TLS.Authority} {
		if name != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		p.addFault("tls", "certificate, key and authority must be set together or not at all")
	}
	if set == 3 {
		return
	}
	for i, instance := range s.Instances {
		if hasAddrAndPort(instance.ControlAddr) && !instance.ControlAddr.Addr().IsLoopback() {
			p.addFault(fmt.Sprintf("instances[%d].control", i), "must be a loopback address, since tls is not set")
		}
	}
}
