package config

import (
	"cmp"
	"fmt"
	"net/textproto"
	"slices"
	"strings"

	"portflow/internal/cluster/settings"
)

// Quota is a caller's quota of a service, as proxies use it. The caller may send the greater of Rate and Fraction.
type Quota struct {
	Name         string
	Service      string
	CallerHeader string  // name of the header that identifies the caller, in canonical form
	Caller       string  // value of the header; OtherCallers for all callers that have no quota of their own
	Rate         float64 // guaranteed requests per second
	Burst        float64 // requests that may be sent at once
	Fraction     float64 // fraction of the service's current capacity, from 0 to 1
	WatchOnly    bool    // requests over the quota are counted but not rejected
	Version      uint64
}

// OtherCallers is the caller name that represents all callers without a quota of their own: those with any other name, without a name, or
// with a name longer than MaxCallerBytes.
const OtherCallers = "*"

// MaxCallerBytes is the maximum length of a caller's name.
const MaxCallerBytes = 128

// minQuotaRate is the minimum value of per-s, in requests per second.
const minQuotaRate = 0.01

// ParseQuota parses and validates the fields of a quota. Errors are recorded in the reader.
func ParseQuota(reader settings.Reader) Quota {
	quota := Quota{
		Name:         reader.At("name").Text(),
		Service:      reader.At("service").Text(),
		Caller:       reader.At("caller").Text(),
		CallerHeader: textproto.CanonicalMIMEHeaderKey(reader.At("caller-header").Text()),
		WatchOnly:    reader.At("watch-only").Bool(),
	}
	if strings.ContainsAny(quota.CallerHeader, " :\t\r\n") {
		reader.At("caller-header").Errorf("%q is not a valid header name; whitespace and colons are not allowed", quota.CallerHeader)
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

// BuildQuotas returns the Quotas that a RoutingTable of the set would have, without building the rest of the table.
func BuildQuotas(s *Set) map[string][]Quota {
	quotas, _ := s.buildQuotas(s.liveServices())
	return quotas
}

// buildQuotas returns the active quotas by service, or nil if there are none, and the reasons why quotas are inactive or reduced. Quotas
// of services that are not in services are inactive.
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

// fractionTolerance allows for rounding errors in a sum of fractions.
const fractionTolerance = 1e-9

// reconcileQuotas resolves conflicts among the quotas of one service, which may arise from a merge. It returns the active quotas sorted by
// name, and the reasons why quotas are inactive or reduced. There must be at least one quota. Quotas with another header than the
// newest quota are inactive. Of several quotas of one caller, the one with the highest version is active, then the first by name.
// Fractions that add up to more than 1 are scaled down in proportion.
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
