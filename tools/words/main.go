// Command words counts deprecated words in the repository by folder, and fails if a count exceeds its baseline.
//
// It must be run from the root of the repository. The word list, .ci/words.txt, has three kinds of lines:
//
//	# a comment
//	WORD, FORM OF IT, ...: what to write instead
//	keep: PHRASE, PHRASE, ...
//
// Matching ignores case. Identifiers and hyphenated words are split first, so that "beat" matches beatEvery but not heartbeat.
// An entry may be a phrase ("set aside"). Phrases on "keep" lines are allowed.
//
// The command counts words in identifiers, comments and messages (strings that contain a space) of Go files, in the text of
// Markdown files, YAML files, Makefiles and scripts, and in the names of all these files. It skips:
//
//   - struct tags, strings without a space and, in text, lower-case names with a dot, as these are wire or file names
//   - folders named testdata, and journal/
//   - docs/glossary.md and CHANGELOG.md, which map old names to new ones
//   - the word list, the baseline and the tests of this command
//
// The baseline, .ci/words-baseline.txt, has lines FOLDER WORD COUNT; -write regenerates it.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"flag"
	"fmt"
	"go/scanner"
	"go/token"
	"os"
	"os/exec"
	"path"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"unicode"
)

const (
	listFile     = ".ci/words.txt"
	baselineFile = ".ci/words-baseline.txt"
	keepPrefix   = "keep"
)

// countKey identifies a count.
type countKey struct {
	folder, word string
}

// counts is the number of occurrences of each word in each folder.
type counts map[countKey]int

// entry is a phrase of the word list, split into words, and the word that it is counted as, which is empty for allowed phrases.
type entry struct {
	phrase []string
	word   string
}

// wordList has the entries by their first word, longest phrase first, and the replacement text of each word.
type wordList struct {
	entries map[string][]entry
	instead map[string]string
}

func main() {
	write := flag.Bool("write", false, "regenerate the baseline")
	flag.Parse()
	if err := run(*write); err != nil {
		fmt.Fprintln(os.Stderr, "words:", err)
		os.Exit(1)
	}
}

func run(write bool) error {
	raw, err := os.ReadFile(listFile)
	if err != nil {
		return err
	}
	list, err := parseList(string(raw))
	if err != nil {
		return err
	}
	files, err := trackedFiles()
	if err != nil {
		return err
	}
	found := counts{}
	for _, file := range files {
		if err := countFile(found, list, file); err != nil {
			return err
		}
	}
	if write {
		return os.WriteFile(baselineFile, []byte(found.String()), 0o644)
	}
	raw, err = os.ReadFile(baselineFile)
	if err != nil {
		return err
	}
	baseline, err := parseCounts(string(raw))
	if err != nil {
		return err
	}
	return compare(found, baseline, list)
}

// parseList parses the content of listFile.
func parseList(text string) (wordList, error) {
	list := wordList{entries: map[string][]entry{}, instead: map[string]string{}}
	for i, line := range strings.Split(text, "\n") {
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		forms, instead, ok := strings.Cut(line, ":")
		if !ok {
			return wordList{}, fmt.Errorf("%s:%d: missing colon after the words", listFile, i+1)
		}
		word := ""
		if forms == keepPrefix {
			forms = instead
		} else {
			word = strings.ReplaceAll(strings.TrimSpace(strings.Split(forms, ",")[0]), " ", "-")
			list.instead[word] = strings.TrimSpace(instead)
		}
		for _, form := range strings.Split(forms, ",") {
			phrase := split(form)
			if len(phrase) == 0 {
				return wordList{}, fmt.Errorf("%s:%d: empty word between commas", listFile, i+1)
			}
			list.entries[phrase[0]] = append(list.entries[phrase[0]], entry{phrase, word})
		}
	}
	for _, entries := range list.entries {
		slices.SortStableFunc(entries, func(a, b entry) int { return len(b.phrase) - len(a.phrase) })
	}
	return list, nil
}

// trackedFiles returns the slash-separated paths of the files that git tracks or would add.
func trackedFiles() ([]string, error) {
	out, err := exec.Command("git", "ls-files", "-z", "--cached", "--others", "--exclude-standard").Output()
	if err != nil {
		return nil, fmt.Errorf("git ls-files: %w", err)
	}
	return strings.FieldsFunc(string(out), func(r rune) bool { return r == 0 }), nil
}

// exempt reports whether a file is excluded from counting.
func exempt(file string) bool {
	switch file {
	case "docs/glossary.md", "CHANGELOG.md", listFile, baselineFile, "tools/words/main_test.go":
		return true
	}
	return strings.HasPrefix(file, "journal/") || slices.Contains(strings.Split(file, "/"), "testdata")
}

// countFile counts the words in a file's name and content. It skips a tracked file that has been deleted from the work tree.
func countFile(found counts, list wordList, file string) error {
	name := path.Base(file)
	isGo, isText := path.Ext(file) == ".go", isScriptOrPage(file)
	if exempt(file) || !isGo && !isText {
		return nil
	}
	raw, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	folder := path.Dir(file)
	found.add(folder, list, split(strings.TrimSuffix(name, path.Ext(name))))
	if !isGo {
		found.add(folder, list, splitText(string(raw)))
		return nil
	}
	for _, words := range goWords(raw) {
		found.add(folder, list, words)
	}
	return nil
}

// isScriptOrPage reports whether a file is a Markdown file, a script, a Makefile or a YAML file.
func isScriptOrPage(file string) bool {
	switch path.Ext(file) {
	case ".md", ".sh", ".yml", ".yaml":
		return true
	}
	return path.Base(file) == "Makefile" || path.Dir(file) == ".ci" && path.Ext(file) == ""
}

// goWords returns the words of a Go file as sequences: one for each identifier, one for each message, and one for all comments
// together.
func goWords(source []byte) [][]string {
	files := token.NewFileSet()
	var s scanner.Scanner
	s.Init(files.AddFile("", -1, len(source)), source, nil, scanner.ScanComments)
	var words [][]string
	var comments []string
	for {
		_, kind, literal := s.Scan()
		switch kind {
		case token.EOF:
			return append(words, splitText(strings.Join(comments, "\n")))
		case token.IDENT:
			words = append(words, split(literal))
		case token.COMMENT:
			comments = append(comments, strings.Trim(literal, "/*"))
		case token.STRING:
			if strings.Contains(literal, " ") && !structTag.MatchString(literal) {
				words = append(words, splitText(literal))
			}
		}
	}
}

var (
	structTag  = regexp.MustCompile("^`\\w+:\"")
	dottedName = regexp.MustCompile(`[\pL\pN_*-]+(\.[\pL\pN_*-]+)+`)
)

// splitText splits a text into words, leaving out dotted names without an upper-case letter: these are wire or file names,
// while names such as pkg.Name are Go identifiers.
func splitText(text string) []string {
	return split(dottedName.ReplaceAllStringFunc(text, func(name string) string {
		if strings.ContainsFunc(name, unicode.IsUpper) {
			return name
		}
		return " . "
	}))
}

// split returns the words of a text or an identifier in lower case: runs of letters, split also where an upper-case letter
// starts a new word (connLimit, HTTPServer). A full stop is a word by itself, so that no phrase matches across sentences.
func split(text string) []string {
	var words []string
	runes := []rune(text)
	start := 0
	end := func(i int) {
		if i > start {
			words = append(words, strings.ToLower(string(runes[start:i])))
		}
		start = i
	}
	for i, r := range runes {
		switch {
		case !unicode.IsLetter(r):
			end(i)
			start = i + 1
			if r == '.' {
				words = append(words, ".")
			}
		case unicode.IsUpper(r) && i > start &&
			(unicode.IsLower(runes[i-1]) || i+1 < len(runes) && unicode.IsLower(runes[i+1])):
			end(i)
		}
	}
	end(len(runes))
	return words
}

// add counts the entries of the list that occur in a sequence of words. At each position the longest phrase matches.
func (c counts) add(folder string, list wordList, words []string) {
	for i := 0; i < len(words); {
		length := 1
		for _, e := range list.entries[words[i]] {
			if len(words)-i < len(e.phrase) || !slices.Equal(words[i:i+len(e.phrase)], e.phrase) {
				continue
			}
			if e.word != "" {
				c[countKey{folder, e.word}]++
			}
			length = len(e.phrase)
			break
		}
		i += length
	}
}

// String returns the counts in the format of the baseline, with sorted lines.
func (c counts) String() string {
	lines := make([]string, 0, len(c))
	for p, n := range c {
		lines = append(lines, fmt.Sprintf("%s %s %d\n", p.folder, p.word, n))
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// parseCounts parses the content of baselineFile.
func parseCounts(text string) (counts, error) {
	c := counts{}
	lines := bufio.NewScanner(bytes.NewBufferString(text))
	for i := 1; lines.Scan(); i++ {
		fields := strings.Fields(lines.Text())
		if len(fields) != 3 {
			return nil, fmt.Errorf("%s:%d: malformed line, want FOLDER WORD COUNT", baselineFile, i)
		}
		n, err := strconv.Atoi(fields[2])
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", baselineFile, i, err)
		}
		c[countKey{fields[0], fields[1]}] = n
	}
	return c, lines.Err()
}

// compare prints each count that exceeds the baseline and the total number of words left. It returns an error if any count
// exceeds the baseline.
func compare(found, baseline counts, list wordList) error {
	var above []string
	total, before := 0, 0
	for p, n := range found {
		total += n
		if n > baseline[p] {
			above = append(above, fmt.Sprintf("%s: %q found %d times, baseline %d; write instead: %s\n", p.folder, p.word, n, baseline[p], list.instead[p.word]))
		}
	}
	for _, n := range baseline {
		before += n
	}
	slices.Sort(above)
	fmt.Print(strings.Join(above, ""))
	fmt.Printf("deprecated words: %d, baseline: %d\n", total, before)
	if len(above) > 0 {
		return fmt.Errorf("%d counts exceed %s", len(above), baselineFile)
	}
	if total < before {
		fmt.Println("lower the baseline with .ci/words -write")
	}
	return nil
}
