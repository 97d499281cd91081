package main

import (
	"slices"
	"strings"
	"testing"
)

const listText = `# a comment
beat, beats: heartbeat
whole: complete
set aside: ejected
keep: whole number
`

func mustParse(t *testing.T) wordList {
	t.Helper()
	list, err := parseList(listText)
	if err != nil {
		t.Fatal(err)
	}
	return list
}

func TestSplit(t *testing.T) {
	for text, want := range map[string]string{
		"beatEvery":      "beat every",
		"heartbeat":      "heartbeat",
		"HTTPServerBeat": "http server beat",
		"set-aside":      "set aside",
		"snake_case2go":  "snake case go",
		"told. Whole":    "told . whole",
		"":               "",
	} {
		if got := strings.Join(split(text), " "); got != want {
			t.Errorf("split(%q) = %q, want %q", text, got, want)
		}
	}
}

func TestCountsOfAGoFile(t *testing.T) {
	source := "package p\n\n" +
		"// setAside waits for whole beats; cluster.beat is on the wire, clock.Beat is ours.\n" +
		"type setAside struct {\n\tBeat int `json:\"beat whole\"`\n}\n\n" +
		"var wire, message = \"beat\", \"a whole number of beats, a whole beat\"\n" +
		"var heartbeat, beatEvery int\n"
	found := counts{}
	list := mustParse(t)
	for _, words := range goWords([]byte(source)) {
		found.add("p", list, words)
	}
	// comments: set aside, whole, beats, Beat; identifiers: set aside, Beat, beat; the message: beats, whole, beat
	want := "p beat 6\np set-aside 2\np whole 2\n"
	if got := found.String(); got != want {
		t.Errorf("counts\n%swant\n%s", got, want)
	}
}

func TestCompare(t *testing.T) {
	list := mustParse(t)
	baseline, err := parseCounts("p beat 2\n")
	if err != nil {
		t.Fatal(err)
	}
	for text, good := range map[string]bool{"p beat 2\n": true, "p beat 1\n": true, "": true, "p beat 3\n": false, "q beat 1\n": false, "p whole 1\n": false} {
		found, err := parseCounts(text)
		if err != nil {
			t.Fatal(err)
		}
		if err := compare(found, baseline, list); (err == nil) != good {
			t.Errorf("compare with counts %q: %v", text, err)
		}
	}
}

func TestBadFiles(t *testing.T) {
	for _, text := range []string{"beat", "beat, , beats: heartbeat", ": heartbeat"} {
		if _, err := parseList(text); err == nil {
			t.Errorf("parseList(%q) returned no error", text)
		}
	}
	for _, text := range []string{"p beat\n", "p beat two\n"} {
		if _, err := parseCounts(text); err == nil {
			t.Errorf("parseCounts(%q) returned no error", text)
		}
	}
}

func TestExempt(t *testing.T) {
	exempted := []string{"journal/notes.md", "a/testdata/b.md", "docs/glossary.md", "CHANGELOG.md"}
	for _, file := range append(exempted, "README.md", "a/mytestdata.go", "docs/journal/a.md") {
		if want := slices.Contains(exempted, file); exempt(file) != want {
			t.Errorf("exempt(%q) = %v", file, !want)
		}
	}
}
