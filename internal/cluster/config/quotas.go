package config

import (
	"cmp"
	"fmt"
	"net/textproto"
	"slices"
	"strings"

	"portflow/internal/cluster/settings"
)

// Quota is one caller's part of a service, as the data plane goes by it.
type Quota struct {
	Name         string
	Service      string
	CallerHeader string  // names the caller, in its canonical spelling
	Caller       string  // its value; Others for all that have no share of their own
	Rate         float64 // requests a second that it surely has
	Burst        float64 // requests at once
	Fraction     float64 // of what the service can carry at present, beside that: the greater holds
	WatchOnly    bool    // nothing is held back: its requests are only counted
	Version      uint64
}

// OtherCallers is the caller that stands for all that have no share of their own: those that name themselves by another value, by
// none, or by one that is longer than LongestCaller.
const OtherCallers = "*"

// MaxCallerBytes is how many bytes of a caller's name are taken for one.
const MaxCallerBytes = 128

// ParseQuota reads and checks one share's fields.
func ParseQuota(reader settings.Reader) Quota {
	quota := Quota{Name: reader.At("name").Text(), Service: reader.At("service").Text(), Caller: reader.At("caller").Text(),
		CallerHeader: textproto.CanonicalMIMEHeaderKey(reader.At("caller-header").Text()), WatchOnly: reader.At("watch-only").Bool()}
	if strings.ContainsAny(quota.CallerHeader, " :\t\r\n") {
		reader.At("caller-header").Errorf("%q is no header's name", quota.CallerHeader)
	}
	if len(quota.Caller) > MaxCallerBytes {
		reader.At("caller").Errorf("longer than %d bytes", MaxCallerBytes)
	}
	if reader.At("per-s").Exists() {
		quota.Rate = reader.At("per-s").Float(0.01, maxNumber)
	}
	if reader.At("part").Exists() {
		quota.Fraction = reader.At("part").Float(0, 1)
	}
	if quota.Rate == 0 && quota.Fraction == 0 && !quota.WatchOnly {
		reader.At("per-s").Errorf("missing, and no part either")
	}
	if quota.Burst = max(1, quota.Rate); reader.At("burst").Exists() {
		quota.Burst = reader.At("burst").Float(1, maxNumber)
	}
	return quota
}

// BuildQuotas is what a chart of the set has as Shares, without the rest of it.
func BuildQuotas(s *Set) map[string][]Quota {
	shares, _ := s.buildQuotas(s.liveServices())
	return shares
}

// buildQuotas are the shares of services that stand, nil for none, and those that yield. After a merge some may not go together: of
// two with one service and caller the higher version holds, of one version the one whose name comes first; all of a service go by
// the header of its newest share, and those with another yield; parts that sum up to more than one are cut down alike.
func (s *Set) buildQuotas(services map[string]Service) (shares map[string][]Quota, inactive []string) {
	active := map[string][]Quota{}
	for _, i := range s.Live(KindQuotas) {
		item := s.parsed(i)
		if reason := item.inactiveReason(func(service string) bool { _, ok := services[service]; return ok }); reason != "" {
			inactive = append(inactive, reason)
		} else {
			active[item.quota.Service] = append(active[item.quota.Service], *item.quota)
		}
	}
	for service, all := range active {
		kept, dropped := reconcileQuotas(all)
		inactive = append(inactive, dropped...)
		if shares == nil {
			shares = map[string][]Quota{}
		}
		shares[service] = kept
	}
	return shares, inactive
}

// reconcileQuotas is what holds of the shares of one service, by name, and what yields.
func reconcileQuotas(quotas []Quota) (kept []Quota, inactive []string) {
	deactivate := func(quota Quota, format string, args ...any) {
		inactive = append(inactive, fmt.Sprintf("share %s: ", quota.Name)+fmt.Sprintf(format, args...))
	}
	slices.SortFunc(quotas, func(a, b Quota) int {
		return cmp.Or(cmp.Compare(b.Version, a.Version), strings.Compare(a.Name, b.Name))
	})
	header, byCaller, sum := quotas[0].CallerHeader, map[string]string{}, 0.0
	quotas = slices.DeleteFunc(quotas, func(quota Quota) bool {
		if quota.CallerHeader != header {
			deactivate(quota, "caller-header: %s, and the service's newest share goes by %s", quota.CallerHeader, header)
			return true
		}
		if other, there := byCaller[quota.Caller]; there {
			deactivate(quota, "caller: share %s has %q", other, quota.Caller)
			return true
		}
		byCaller[quota.Caller] = quota.Name
		sum += quota.Fraction
		return false
	})
	if sum > 1+1e-9 {
		for i := range quotas {
			deactivate(quotas[i], "part: the service's parts sum up to %.3f, and are cut down alike", sum)
			quotas[i].Fraction /= sum
		}
	}
	slices.SortFunc(quotas, func(a, b Quota) int { return strings.Compare(a.Name, b.Name) })
	return quotas, inactive
}
