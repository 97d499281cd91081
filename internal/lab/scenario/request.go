package scenario

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/samber/lo"
)

// Request lists entries that a scenario must contain. Fields that are set are used unchanged, the others are drawn.
type Request struct {
	Entries []Entry
	Closing Entry // nil means drawn, an empty entry means no closing fault
}

// ParseRequests parses requests, one per line. A request consists of terms separated by " + ". A term is an entry of the form
// "KIND field=value ...", with spaces in values written as commas, or a closing fault: "closing=KIND", optionally followed by how= and
// down_s=, or "closing=none". A line that begins with "? " is skipped if the site lacks one of its kinds, and text after "#" is a
// comment. Errors give the line number.
func (g *Generator) ParseRequests(text string) ([]Request, error) {
	var requests []Request
	for n, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		if strings.TrimSpace(line) == "" {
			continue
		}
		line, optional := strings.CutPrefix(strings.TrimSpace(line), "? ")
		terms := strings.Split(line, " + ")
		if optional && !lo.EveryBy(terms, g.hasKind) {
			continue
		}
		var request Request
		for _, term := range terms {
			if err := g.addTerm(&request, term); err != nil {
				return nil, fmt.Errorf("requests, line %d: %w", n+1, err)
			}
		}
		requests = append(requests, request)
	}
	if len(requests) == 0 {
		return nil, errors.New("requests: the text contains none")
	}
	return requests, nil
}

// hasKind reports whether the site has the kind of a term. It is true for all closing faults.
func (g *Generator) hasKind(term string) bool {
	kind, _, _ := strings.Cut(strings.TrimSpace(term), " ")
	_, ok := g.Kind(kind)
	return ok || strings.HasPrefix(kind, "closing=")
}

// addTerm parses and checks a term and adds it to the request.
func (g *Generator) addTerm(request *Request, term string) error {
	e, err := parseEntry(strings.Fields(term))
	if err != nil {
		return err
	}
	kind, closing := strings.CutPrefix(e.Kind(), "closing=")
	switch {
	case !closing:
		request.Entries = append(request.Entries, e)
		return g.CheckEntry(e)
	case request.Closing != nil:
		return errors.New("request has more than one closing term")
	case kind == "none":
		request.Closing = Entry{}
		return nil
	}
	e["kind"] = kind
	if e["down_s"] == nil {
		e["down_s"] = defaultClosingDownS
	}
	request.Closing = e
	return g.checkClosing(e)
}

// defaultClosingDownS is the duration in seconds of a requested closing fault without down_s.
const defaultClosingDownS = 1.0

// parseEntry parses a kind followed by field=value words. The entry isn't checked against the catalog.
func parseEntry(words []string) (Entry, error) {
	e := Entry{}
	for i, w := range words {
		f, v, ok := strings.Cut(w, "=")
		switch {
		case i == 0:
			e["kind"] = w
		case !ok || f == "" || v == "":
			return e, fmt.Errorf("%q is not of the form field=value", w)
		case f == "kind" || e[f] != nil:
			return e, fmt.Errorf("duplicate field %q", f)
		case f == "count":
			n, err := strconv.ParseInt(v, 10, 32)
			if err != nil {
				return e, fmt.Errorf("count %q is not a 32-bit whole number", v)
			}
			e[f] = n
		default:
			if x, err := strconv.ParseFloat(v, 64); err == nil {
				e[f] = x
			} else {
				e[f] = strings.ReplaceAll(v, ",", " ")
			}
		}
	}
	return e, nil
}
