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
	keyLen         = 16
	maxVoters      = 6
	minRequestSize = 64
)

// check names every fault that types alone do not show.
func (s Settings) check(p *parser) {
	if key, err := hex.DecodeString(s.HashKey); err != nil || len(key) != keyLen {
		p.add("hash_key", "must be %d hexadecimal digits, the same on every instance", 2*keyLen)
	}
	if !usable(s.Fabric) {
		p.add("fabric", "must be an IP number with a port")
	}
	if s.Platform != "" {
		if u, err := url.Parse(s.Platform); err != nil || u.Scheme != "http" || u.Host == "" {
			p.add("platform", "must be an http URL with an IP number")
		}
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level) {
		p.add("log.level", "must be debug, info, warn or error")
	}
	s.checkInstances(p)
	s.checkPositive(p)
	s.checkTimes(p)
	s.checkTLS(p)
}

func usable(a netip.AddrPort) bool { return a.IsValid() && a.Port() != 0 }

func (s Settings) checkInstances(p *parser) {
	if len(s.Instances) == 0 {
		p.add("instances", "must name at least one instance")
	}
	names, addresses, folders := map[string]int{}, map[netip.AddrPort]string{}, map[string]int{}
	for i, instance := range s.Instances {
		field := fmt.Sprintf("instances[%d]", i)
		if instance.Name == "" {
			p.add(field+".name", "must not be empty")
		} else if first, twice := names[instance.Name]; twice {
			p.add(field+".name", "%q is also the name of instances[%d]", instance.Name, first)
		}
		names[instance.Name] = i
		if instance.Domain == "" {
			p.add(field+".domain", "must name a failure domain")
		}
		checkAddress(p, field+".packets", instance.Packets, "udp", addresses)
		checkAddress(p, field+".control", instance.Control, "tcp", addresses)
		if first, twice := folders[instance.Data]; twice && instance.Data != "" {
			p.add(field+".data", "is also the data folder of instances[%d]", first)
		}
		folders[instance.Data] = i
	}
	if n := len(s.Voters()); n > maxVoters || len(s.Instances) > 0 && n == 0 {
		p.add("instances", "%d of them have a data folder; 1 to %d are control instances", n, maxVoters)
	}
}

func checkAddress(p *parser, field string, a netip.AddrPort, network string, taken map[netip.AddrPort]string) {
	if !usable(a) {
		p.add(field, "must be an IP number with a port")
		return
	}
	if other, twice := taken[a]; twice {
		p.add(field, "%s %s is also %s", network, a, other)
	}
	taken[a] = field
}

// checkPositive asks every limit and time to be more than nothing.
func (s Settings) checkPositive(p *parser) {
	for _, group := range []struct {
		name  string
		value reflect.Value
	}{{"limits", reflect.ValueOf(s.Limits)}, {"times", reflect.ValueOf(s.Times)}} {
		for i := range group.value.NumField() {
			if group.value.Field(i).Int() <= 0 {
				p.add(group.name+"."+group.value.Type().Field(i).Tag.Get("json"), "must be more than 0")
			}
		}
	}
	if s.Limits.RequestBytes < minRequestSize {
		p.add("limits.request_bytes", "must be at least %d", minRequestSize)
	}
}

func (s Settings) checkTimes(p *parser) {
	t := s.Times
	before := func(field string, short, long Duration, other string) {
		if short >= long {
			p.add("times."+field, "%s must be shorter than %s (%s)", short.Std(), other, long.Std())
		}
	}
	before("beat", 2*t.Beat, t.Lease, "times.lease, twice over")
	before("margin", t.Margin, t.Lease, "times.lease")
	if least := t.Lease + 2*t.Margin + 2*t.Beat; t.IslandAfter < least {
		p.add("times.island_after", "must be at least %s, a lease with two margins and two beats: until then an entry elsewhere may hold a lease and not know of the cut", least.Std())
	}
	before("probe", t.Probe, t.HeardFor, "times.heard_for")
	before("log_heartbeat", 2*t.LogHeartbeat, t.LogLease, "times.log_lease, twice over")
	before("log_drift", t.LogDrift, t.LogLease, "times.log_lease")
	before("sweep_every", t.SweepEvery, t.SettleAfter, "times.settle_after")
	before("check_timeout", t.CheckTimeout, 2*t.Check, "twice times.check")
}

func (s Settings) checkTLS(p *parser) {
	set := 0
	for _, name := range []string{s.TLS.Certificate, s.TLS.Key, s.TLS.Authority} {
		if name != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		p.add("tls", "certificate, key and authority are set together or not at all")
	}
	if set == 3 {
		return
	}
	for i, instance := range s.Instances {
		if usable(instance.Control) && !instance.Control.Addr().IsLoopback() {
			p.add(fmt.Sprintf("instances[%d].control", i), "without tls only loopback is allowed")
		}
	}
}
