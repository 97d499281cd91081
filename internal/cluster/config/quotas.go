package config

import (
	"cmp"
	"fmt"
	"net/textproto"
	"slices"
	"strings"

	"portflow/internal/cluster/settings"
)

// Quota is one caller's quota of a service, as proxies go by it. The caller may send the greater of Rate and Fraction.
type Quota struct {
	Name         string
	Service      string
	CallerHeader string  // the header that names the caller, in its canonical form
	Caller       string  // the value of the header; OtherCallers for all callers that have no quota of their own
	Rate         float64 // guaranteed requests a second
	Burst        float64 // requests at once
	Fraction     float64 // of the present capacity of the service, from 0 to 1
	WatchOnly    bool    // requests over the quota are counted, not rejected
	Version      uint64
}

// OtherCallers is the caller that stands for all callers without a quota of their own: another name, none, or one that is longer than
// MaxCallerBytes.
const OtherCallers = "*"

// MaxCallerBytes is the length that a caller's name may have, in bytes.
const MaxCallerBytes = 128

// minQuotaRate is the lowest per-s that may be set, in requests a second.
const minQuotaRate = 0.01

// ParseQuota parses and checks the fields of a quota; errors are noted in the reader.
func ParseQuota(reader settings.Reader) Quota {
	quota := Quota{
		Name:         reader.At("name").Text(),
		Service:      reader.At("service").Text(),
		Caller:       reader.At("caller").Text(),
		CallerHeader: textproto.CanonicalMIMEHeaderKey(reader.At("caller-header").Text()),
		WatchOnly:    reader.At("watch-only").Bool(),
	}
	if strings.ContainsAny(quota.CallerHeader, " :\t\r\n") {
		reader.At("caller-header").Errorf("%q is no header's name", quota.CallerHeader)
	}
	if len(quota.Caller) > MaxCallerBytes {
		reader.At("caller").Errorf("longer than %d bytes", MaxCallerBytes)
	}
	if rate := reader.At("per-s"); rate.Exists() {
		quota.Rate = rate.Float(minQuotaRate, maxNumber)
	}
	if fraction := reader.At("part"); fraction.Exists() {
		quota.Fraction = fraction.Float(0, 1)
	}
	if quota.Rate == 0 && quota.Fraction == 0 && !quota.WatchOnly {
		reader.At("per-s").Errorf("missing, and no part either")
	}
	quota.Burst = max(1, quota.Rate)
	if burst := reader.At("burst"); burst.Exists() {
		quota.Burst = burst.Float(1, maxNumber)
	}
	return quota
}

// BuildQuotas returns the Quotas of the set's routing table, without building the rest of it.
func BuildQuotas(s *Set) map[string][]Quota {
	quotas, _ := s.buildQuotas(s.liveServices())
	return quotas
}

// buildQuotas returns the active quotas of services that exist, nil if there are none, and why others are inactive or reduced.
func (s *Set) buildQuotas(services map[string]Service) (quotas map[string][]Quota, inactive []string) {
	candidates := map[string][]Quota{}
	for _, i := range s.Live(KindQuotas) {
		item := s.parsed(i)
		if reason := item.inactiveReason(existsIn(services)); reason != "" {
			inactive = append(inactive, reason)
			continue
		}
		service := item.quota.Service
		candidates[service] = append(candidates[service], *item.quota)
	}
	for service, all := range candidates {
		active, reasons := reconcileQuotas(all)
		inactive = append(inactive, reasons...)
		if quotas == nil {
			quotas = map[string][]Quota{}
		}
		quotas[service] = active
	}
	return quotas, inactive
}

// fractionTolerance is the rounding error that a sum of fractions may have.
const fractionTolerance = 1e-9

// reconcileQuotas returns, by name, the active ones of the quotas of one service, of which there must be one, and why the others are
// inactive. Quotas may conflict after a merge: of two of one caller the higher version is active, of one version the first by
// name; those with another header than the newest quota are inactive; fractions that add up to more than one are scaled down.
func reconcileQuotas(quotas []Quota) (active []Quota, inactive []string) {
	addReason := func(quota Quota, format string, args ...any) {
		inactive = append(inactive, fmt.Sprintf("share %s: ", quota.Name)+fmt.Sprintf(format, args...))
	}
	slices.SortFunc(quotas, func(a, b Quota) int {
		return cmp.Or(cmp.Compare(b.Version, a.Version), strings.Compare(a.Name, b.Name))
	})
	header := quotas[0].CallerHeader
	nameByCaller := map[string]string{}
	sum := 0.0
	for _, quota := range quotas {
		if quota.CallerHeader != header {
			addReason(quota, "caller-header: %s, and the service's newest share goes by %s", quota.CallerHeader, header)
			continue
		}
		if other, exists := nameByCaller[quota.Caller]; exists {
			addReason(quota, "caller: share %s has %q", other, quota.Caller)
			continue
		}
		nameByCaller[quota.Caller] = quota.Name
		sum += quota.Fraction
		active = append(active, quota)
	}
	if sum > 1+fractionTolerance {
		for i := range active {
			addReason(active[i], "part: the service's parts sum up to %.3f, and are cut down alike", sum)
			active[i].Fraction /= sum
		}
	}
	slices.SortFunc(active, func(a, b Quota) int { return strings.Compare(a.Name, b.Name) })
	return active, inactive
}
