package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"

	"github.com/samber/lo"
	"github.com/spf13/cobra"

	"portflow/internal/lab/scenario"
)

// scenarioCommand is what the commands of days share: where to draw from, and what.
type scenarioCommand struct {
	siteDir      string
	learnSites   []string
	requestsFile string
	kindCount    int
	firstSeed    uint64
	count        int
	outDir       string
}

func scenarioCommands() *cobra.Command {
	root := &cobra.Command{Use: "days", Short: "days of our own for the users' bench, drawn by seed"}
	root.AddCommand(listKinds(), makeScenarios(), playScenarios(), printTable())
	return root
}

func (sc *scenarioCommand) flags(c *cobra.Command) {
	f := c.Flags()
	f.StringVar(&sc.siteDir, "bench", "", "the bench's program")
	f.StringSliceVar(&sc.learnSites, "learn", nil, "site files beside SITE, to learn what is planned work")
	f.StringVar(&sc.requestsFile, "wishes", "", "a file of wishes, one a line: KIND field=value ... + KIND ... + closing=KIND; without it each kind alone, then pairs and triples")
	f.IntVar(&sc.kindCount, "mix", 0, "kinds a day at least (0: as seed or wish say)")
	f.Uint64Var(&sc.firstSeed, "from", 1, "the first seed")
	f.IntVar(&sc.count, "days", 1, "days, 1000 at most")
	f.StringVar(&sc.outDir, "out", "", "a folder for day files, outputs and results; outside the sources")
	lo.Must0(c.MarkFlagRequired("bench"))
}

// newGenerator reads what the bench tells of a site, and the site file.
func (sc *scenarioCommand) newGenerator(site string) (*scenario.Generator, error) {
	listed, err := exec.Command(sc.siteDir, "kinds", site).Output()
	if err != nil {
		return nil, fmt.Errorf("%s kinds: %w", filepath.Base(sc.siteDir), err)
	}
	kinds, err := scenario.ParseCatalog(string(listed))
	if err != nil {
		return nil, err
	}
	of, err := readSite(site)
	if err != nil {
		return nil, err
	}
	for _, l := range sc.learnSites {
		other, err := readSite(l)
		if err != nil {
			return nil, err
		}
		of.LearnFrom(other)
	}
	return scenario.NewGenerator(kinds, of)
}

func readSite(path string) (scenario.Site, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return scenario.Site{}, err
	}
	s, err := scenario.ParseSite(string(text))
	if err != nil {
		return s, fmt.Errorf("%s: %w", filepath.Base(path), err)
	}
	return s, nil
}

// generate draws the days and writes their files into the folder.
func (sc *scenarioCommand) generate(site string) (*scenario.Generator, []scenario.Scenario, []string, error) {
	if sc.count < 1 || sc.count > 1000 {
		return nil, nil, nil, fmt.Errorf("--days %d: 1 to 1000", sc.count)
	}
	if sc.outDir == "" {
		return nil, nil, nil, errors.New("--out: a folder is wanted")
	}
	dr, err := sc.newGenerator(site)
	if err != nil {
		return nil, nil, nil, err
	}
	var requests []scenario.Request
	if sc.requestsFile != "" {
		text, err := os.ReadFile(sc.requestsFile)
		if err != nil {
			return nil, nil, nil, err
		}
		if requests, err = dr.ParseRequests(string(text)); err != nil {
			return nil, nil, nil, fmt.Errorf("%s: %w", filepath.Base(sc.requestsFile), err)
		}
	}
	if err := os.MkdirAll(sc.outDir, 0o755); err != nil {
		return nil, nil, nil, err
	}
	var made []scenario.Scenario
	var paths []string
	for i := range sc.count {
		generated, err := dr.Generate(sc.firstSeed+uint64(i), sc.kindCount, requests)
		if err != nil {
			return nil, nil, nil, err
		}
		path := filepath.Join(sc.outDir, dr.Site.Name+"-"+generated.Name+".toml")
		if err := os.WriteFile(path, []byte(generated.TOML()), 0o644); err != nil {
			return nil, nil, nil, err
		}
		made, paths = append(made, generated), append(paths, path)
	}
	return dr, made, paths, nil
}

func listKinds() *cobra.Command {
	var d scenarioCommand
	c := &cobra.Command{Use: "kinds SITE", Short: "what was read of a site: kinds, variants, fields, and how many seeds play each alone", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			dr, err := d.newGenerator(args[0])
			if err != nil {
				return err
			}
			for _, k := range dr.Kinds {
				fmt.Printf("%-20s %-6s %s\n", k.Name, lo.Ternary(dr.Planned[k.Name], "plan", "faults"), strings.Join(dr.Variants(k), " | "))
			}
			fmt.Printf("fields: %s\nclosing: %s (%s)\n%d seeds play each alone\n", strings.Join(dr.Fields, " "), strings.Join(dr.Closings, " "),
				strings.Join(dr.ClosingVariants, " "), dr.SingleKinds())
			return nil
		}}
	d.flags(c)
	return c
}

func makeScenarios() *cobra.Command {
	var d scenarioCommand
	c := &cobra.Command{Use: "make SITE", Short: "write day files", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			_, _, paths, err := d.generate(args[0])
			for _, p := range paths {
				fmt.Println(p)
			}
			return err
		}}
	d.flags(c)
	return c
}

func playScenarios() *cobra.Command {
	var d scenarioCommand
	var jobs int
	var why, log string
	var noCPU bool
	c := &cobra.Command{Use: "play SITE", Short: "make days and play them in the repository, a line a day and a table; results are added to results.jsonl in --out", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if jobs < 1 || jobs > 64 {
				return fmt.Errorf("--jobs %d: 1 to 64", jobs)
			}
			if why == "" || len(why) >= 120 || strings.Contains(why, "\n") {
				return errors.New("--why: one plain sentence under 120 characters")
			}
			dr, made, paths, err := d.generate(args[0])
			if err != nil {
				return err
			}
			// built once, so that days side by side don't build
			if out, err := exec.Command(d.siteDir, "build").CombinedOutput(); err != nil {
				return fmt.Errorf("%s build: %w\n%s", filepath.Base(d.siteDir), err, out)
			}
			results, err := os.OpenFile(filepath.Join(d.outDir, "results.jsonl"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
			if err != nil {
				return err
			}
			defer results.Close()
			var mu sync.Mutex
			var all []scenario.RunResult
			var failed []error
			left := make(chan int, len(made))
			for i := range made {
				left <- i
			}
			close(left)
			var wg sync.WaitGroup
			for range min(jobs, len(made)) {
				wg.Go(func() {
					for i := range left {
						call := []string{"run", args[0], paths[i], "--jobs", "1", "--why", why}
						if log != "" {
							call = append(call, "--log", log)
						}
						if noCPU {
							call = append(call, "--no-cpu")
						}
						p, printed, err := playScenario(d.siteDir, call, strings.TrimSuffix(paths[i], ".toml")+".txt")
						mu.Lock()
						if err != nil {
							failed = append(failed, fmt.Errorf("%s: %w", made[i].Name, err))
							fmt.Println("NOT PLAYED", made[i].Name, err)
						} else {
							p.NotStarted = dr.NotStarted(printed)
							p.Closing = strings.TrimSpace(made[i].Closing.Kind() + " " + strings.Join(made[i].Closing.Variant(), " "))
							all = append(all, p)
							fmt.Println(p)
							failed = append(failed, json.NewEncoder(results).Encode(p))
						}
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			scenario.FormatTable(os.Stdout, all)
			broke := lo.Filter(all, func(p scenario.RunResult, _ int) bool { return p.Failed() })
			fmt.Printf("%d days played, %d of them with a broken rule or a fault, %d not played\n", len(all), len(broke), len(made)-len(all))
			return errors.Join(failed...)
		}}
	d.flags(c)
	f := c.Flags()
	f.IntVar(&jobs, "jobs", 1, "days side by side")
	f.StringVar(&why, "why", "", "a sentence for the journal")
	f.StringVar(&log, "log", "", "machines whose output goes into the day's text file")
	f.BoolVar(&noCPU, "no-cpu", false, "processor time isn't counted")
	lo.Must0(c.MarkFlagRequired("why"))
	return c
}

var journalEntryID = regexp.MustCompile(`(?m)^snapshot ([0-9a-f]{8})$`)

// playScenario plays one day, keeps what it prints and reads its journal entry.
func playScenario(bench string, call []string, out string) (p scenario.RunResult, text string, err error) {
	var printed bytes.Buffer
	cmd := exec.Command(bench, call...)
	cmd.Stdout, cmd.Stderr = &printed, &printed
	ran := cmd.Run()
	if err := os.WriteFile(out, printed.Bytes(), 0o644); err != nil {
		return p, "", err
	}
	id := journalEntryID.FindSubmatch(printed.Bytes())
	if id == nil {
		lines := strings.Split(strings.TrimSpace(printed.String()), "\n")
		return p, "", fmt.Errorf("no journal entry: %w", errors.Join(ran, errors.New(lines[len(lines)-1])))
	}
	found, err := filepath.Glob("journal/*-" + string(id[1]) + ".json")
	if err != nil || len(found) != 1 {
		return p, "", fmt.Errorf("journal entry %s: %d files", id[1], len(found))
	}
	entry, err := os.ReadFile(found[0])
	if err != nil {
		return p, "", err
	}
	p, err = scenario.ParseRunResult(entry)
	return p, printed.String(), err
}

func printTable() *cobra.Command {
	return &cobra.Command{Use: "table RESULTS...", Short: "the table of days played before, by site and kind", Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var all []scenario.RunResult
			for _, path := range args {
				f, err := os.Open(path)
				if err != nil {
					return err
				}
				s := bufio.NewScanner(f)
				s.Buffer(nil, 1<<20)
				for n := 1; s.Scan(); n++ {
					var p scenario.RunResult
					if err := json.Unmarshal(s.Bytes(), &p); err != nil {
						f.Close()
						return fmt.Errorf("%s, line %d: %w", filepath.Base(path), n, err)
					}
					all = append(all, p)
				}
				f.Close()
				if err := s.Err(); err != nil {
					return err
				}
			}
			slices.SortStableFunc(all, func(a, b scenario.RunResult) int { return strings.Compare(a.Site, b.Site) })
			for _, p := range all {
				if p.Failed() || !p.GatePassed {
					fmt.Println(p)
				}
			}
			scenario.FormatTable(os.Stdout, all)
			return nil
		}}
}
