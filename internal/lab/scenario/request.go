package scenario

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/samber/lo"
)

// Request is what a scenario must have at least: entries whose given fields stay as they are, while the others are drawn.
type Request struct {
	Entries []Entry
	Closing Entry // nil: drawn; an empty one: none
}

// ParseRequests parses requests, one a line, with comments after "#": entries joined by " + ", each a kind and its fields,
// "KIND field=value ...", where spaces in a value are written as commas; and "closing=KIND", with how= and down_s=, or
// "closing=none". A line that begins with "? " is skipped where the site lacks one of its kinds. An error names line and field.
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
				return nil, fmt.Errorf("wishes, line %d: %w", n+1, err)
			}
		}
		requests = append(requests, request)
	}
	if len(requests) == 0 {
		return nil, errors.New("wishes: none in the text")
	}
	return requests, nil
}

// hasKind reports whether the site has the kind of a request's part; closing faults count as had.
func (g *Generator) hasKind(term string) bool {
	kind, _, _ := strings.Cut(strings.TrimSpace(term), " ")
	_, ok := g.Kind(kind)
	return ok || strings.HasPrefix(kind, "closing=")
}

// addTerm parses a part of a request, checks it and adds it.
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
		return errors.New("closing stands twice")
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

// defaultClosingDownS is how many seconds a closing fault lasts that gives no down_s.
const defaultClosingDownS = 1.0

// parseEntry parses a kind and its fields.
func parseEntry(words []string) (Entry, error) {
	e := Entry{}
	for i, w := range words {
		f, v, ok := strings.Cut(w, "=")
		switch {
		case i == 0:
			e["kind"] = w
		case !ok || f == "" || v == "":
			return e, fmt.Errorf("%q: field=value is wanted", w)
		case f == "kind" || e[f] != nil:
			return e, fmt.Errorf("field %q stands twice", f)
		case f == "count":
			n, err := strconv.ParseInt(v, 10, 32)
			if err != nil {
				return e, fmt.Errorf("count %q: a whole number is wanted", v)
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
