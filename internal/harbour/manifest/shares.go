package manifest

import (
	"cmp"
	"fmt"
	"net/textproto"
	"slices"
	"strings"

	"portflow/internal/harbour/papers"
)

// Share is one caller's part of a service, as the data plane goes by it.
type Share struct {
	Name    string
	Service string
	Header  string  // names the caller, in its canonical spelling
	Caller  string  // its value; Others for all that have no share of their own
	PerS    float64 // requests a second that it surely has
	Burst   float64 // requests at once
	Part    float64 // of what the service can carry at present, beside that: the greater holds
	Watch   bool    // nothing is held back: its requests are only counted
	Version uint64
}

// Others is the caller that stands for all that have no share of their own: those that name themselves by another value, by
// none, or by one that is longer than LongestCaller.
const Others = "*"

// LongestCaller is how many bytes of a caller's name are taken for one.
const LongestCaller = 128

// ReadShare reads and checks one share's fields.
func ReadShare(r papers.Reader) Share {
	v := Share{Name: r.At("name").Text(), Service: r.At("service").Text(), Caller: r.At("caller").Text(),
		Header: textproto.CanonicalMIMEHeaderKey(r.At("caller-header").Text()), Watch: r.At("watch-only").Truth()}
	if strings.ContainsAny(v.Header, " :\t\r\n") {
		r.At("caller-header").Fail("%q is no header's name", v.Header)
	}
	if len(v.Caller) > LongestCaller {
		r.At("caller").Fail("longer than %d bytes", LongestCaller)
	}
	if r.At("per-s").There() {
		v.PerS = r.At("per-s").Number(0.01, farthest)
	}
	if r.At("part").There() {
		v.Part = r.At("part").Number(0, 1)
	}
	if v.PerS == 0 && v.Part == 0 && !v.Watch {
		r.At("per-s").Fail("missing, and no part either")
	}
	if v.Burst = max(1, v.PerS); r.At("burst").There() {
		v.Burst = r.At("burst").Number(1, farthest)
	}
	return v
}

// DrawShares is what a chart of the set has as Shares, without the rest of it.
func DrawShares(s *Set) map[string][]Share {
	shares, _ := s.shares(s.services())
	return shares
}

// shares are the shares of services that stand, nil for none, and those that yield. After a merge some may not go together: of
// two with one service and caller the higher version holds, of one version the one whose name comes first; all of a service go by
// the header of its newest share, and those with another yield; parts that sum up to more than one are cut down alike.
func (s *Set) shares(services map[string]Service) (shares map[string][]Share, yielding []string) {
	stand := map[string][]Share{}
	for _, i := range s.Standing(Shares) {
		r := s.reading(i)
		if why := r.alone(func(service string) bool { _, ok := services[service]; return ok }); why != "" {
			yielding = append(yielding, why)
		} else {
			stand[r.share.Service] = append(stand[r.share.Service], *r.share)
		}
	}
	for service, all := range stand {
		hold, yield := together(all)
		yielding = append(yielding, yield...)
		if shares == nil {
			shares = map[string][]Share{}
		}
		shares[service] = hold
	}
	return shares, yielding
}

// together is what holds of the shares of one service, by name, and what yields.
func together(shares []Share) (hold []Share, yielding []string) {
	yield := func(v Share, format string, args ...any) {
		yielding = append(yielding, fmt.Sprintf("share %s: ", v.Name)+fmt.Sprintf(format, args...))
	}
	slices.SortFunc(shares, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.Version, a.Version), strings.Compare(a.Name, b.Name))
	})
	header, held, sum := shares[0].Header, map[string]string{}, 0.0
	shares = slices.DeleteFunc(shares, func(v Share) bool {
		if v.Header != header {
			yield(v, "caller-header: %s, and the service's newest share goes by %s", v.Header, header)
			return true
		}
		if other, there := held[v.Caller]; there {
			yield(v, "caller: share %s has %q", other, v.Caller)
			return true
		}
		held[v.Caller] = v.Name
		sum += v.Part
		return false
	})
	if sum > 1+1e-9 {
		for i := range shares {
			yield(shares[i], "part: the service's parts sum up to %.3f, and are cut down alike", sum)
			shares[i].Part /= sum
		}
	}
	slices.SortFunc(shares, func(a, b Share) int { return strings.Compare(a.Name, b.Name) })
	return shares, yielding
}
