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

// drawn is what the commands of days share: where to draw from, and what.
type drawn struct {
	bench  string
	learn  []string
	wishes string
	mix    int
	from   uint64
	days   int
	out    string
}

func dayCommands() *cobra.Command {
	root := &cobra.Command{Use: "days", Short: "days of our own for the users' bench, drawn by seed"}
	root.AddCommand(dayKinds(), dayMake(), dayPlay(), dayTable())
	return root
}

func (d *drawn) flags(c *cobra.Command) {
	f := c.Flags()
	f.StringVar(&d.bench, "bench", "", "the bench's program")
	f.StringSliceVar(&d.learn, "learn", nil, "site files beside SITE, to learn what is planned work")
	f.StringVar(&d.wishes, "wishes", "", "a file of wishes, one a line: KIND field=value ... + KIND ... + closing=KIND; without it each kind alone, then pairs and triples")
	f.IntVar(&d.mix, "mix", 0, "kinds a day at least (0: as seed or wish say)")
	f.Uint64Var(&d.from, "from", 1, "the first seed")
	f.IntVar(&d.days, "days", 1, "days, 1000 at most")
	f.StringVar(&d.out, "out", "", "a folder for day files, outputs and results; outside the sources")
	lo.Must0(c.MarkFlagRequired("bench"))
}

// drawer reads what the bench tells of a site, and the site file.
func (d *drawn) drawer(site string) (*scenario.Drawer, error) {
	listed, err := exec.Command(d.bench, "kinds", site).Output()
	if err != nil {
		return nil, fmt.Errorf("%s kinds: %w", filepath.Base(d.bench), err)
	}
	kinds, err := scenario.ReadKinds(string(listed))
	if err != nil {
		return nil, err
	}
	of, err := readSite(site)
	if err != nil {
		return nil, err
	}
	for _, l := range d.learn {
		other, err := readSite(l)
		if err != nil {
			return nil, err
		}
		of.Learn(other)
	}
	return scenario.NewDrawer(kinds, of)
}

func readSite(path string) (scenario.Site, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return scenario.Site{}, err
	}
	s, err := scenario.ReadSite(string(text))
	if err != nil {
		return s, fmt.Errorf("%s: %w", filepath.Base(path), err)
	}
	return s, nil
}

// make draws the days and writes their files into the folder.
func (d *drawn) make(site string) (*scenario.Drawer, []scenario.Day, []string, error) {
	if d.days < 1 || d.days > 1000 {
		return nil, nil, nil, fmt.Errorf("--days %d: 1 to 1000", d.days)
	}
	if d.out == "" {
		return nil, nil, nil, errors.New("--out: a folder is wanted")
	}
	dr, err := d.drawer(site)
	if err != nil {
		return nil, nil, nil, err
	}
	var wishes []scenario.Wish
	if d.wishes != "" {
		text, err := os.ReadFile(d.wishes)
		if err != nil {
			return nil, nil, nil, err
		}
		if wishes, err = dr.ReadWishes(string(text)); err != nil {
			return nil, nil, nil, fmt.Errorf("%s: %w", filepath.Base(d.wishes), err)
		}
	}
	if err := os.MkdirAll(d.out, 0o755); err != nil {
		return nil, nil, nil, err
	}
	var made []scenario.Day
	var paths []string
	for i := range d.days {
		day, err := dr.Draw(d.from+uint64(i), d.mix, wishes)
		if err != nil {
			return nil, nil, nil, err
		}
		path := filepath.Join(d.out, dr.Site.Name+"-"+day.Name+".toml")
		if err := os.WriteFile(path, []byte(day.TOML()), 0o644); err != nil {
			return nil, nil, nil, err
		}
		made, paths = append(made, day), append(paths, path)
	}
	return dr, made, paths, nil
}

func dayKinds() *cobra.Command {
	var d drawn
	c := &cobra.Command{Use: "kinds SITE", Short: "what was read of a site: kinds, variants, fields, and how many seeds play each alone", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			dr, err := d.drawer(args[0])
			if err != nil {
				return err
			}
			for _, k := range dr.Kinds {
				fmt.Printf("%-20s %-6s %s\n", k.Name, lo.Ternary(dr.Planned[k.Name], "plan", "faults"), strings.Join(dr.Hows(k), " | "))
			}
			fmt.Printf("fields: %s\nclosing: %s (%s)\n%d seeds play each alone\n", strings.Join(dr.Fields, " "), strings.Join(dr.Closings, " "),
				strings.Join(dr.ClosingHows, " "), dr.Singles())
			return nil
		}}
	d.flags(c)
	return c
}

func dayMake() *cobra.Command {
	var d drawn
	c := &cobra.Command{Use: "make SITE", Short: "write day files", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			_, _, paths, err := d.make(args[0])
			for _, p := range paths {
				fmt.Println(p)
			}
			return err
		}}
	d.flags(c)
	return c
}

func dayPlay() *cobra.Command {
	var d drawn
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
			dr, made, paths, err := d.make(args[0])
			if err != nil {
				return err
			}
			// built once, so that days side by side don't build
			if out, err := exec.Command(d.bench, "build").CombinedOutput(); err != nil {
				return fmt.Errorf("%s build: %w\n%s", filepath.Base(d.bench), err, out)
			}
			results, err := os.OpenFile(filepath.Join(d.out, "results.jsonl"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
			if err != nil {
				return err
			}
			defer results.Close()
			var mu sync.Mutex
			var all []scenario.Played
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
						p, printed, err := playDay(d.bench, call, strings.TrimSuffix(paths[i], ".toml")+".txt")
						mu.Lock()
						if err != nil {
							failed = append(failed, fmt.Errorf("%s: %w", made[i].Name, err))
							fmt.Println("NOT PLAYED", made[i].Name, err)
						} else {
							p.Idle = dr.Befell(printed)
							p.Closing = strings.TrimSpace(made[i].Closing.Kind() + " " + strings.Join(made[i].Closing.How(), " "))
							all = append(all, p)
							fmt.Println(p)
							failed = append(failed, json.NewEncoder(results).Encode(p))
						}
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			scenario.Table(os.Stdout, all)
			broke := lo.Filter(all, func(p scenario.Played, _ int) bool { return p.Broke() })
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

var entryID = regexp.MustCompile(`(?m)^snapshot ([0-9a-f]{8})$`)

// playDay plays one day, keeps what it prints and reads its journal entry.
func playDay(bench string, call []string, out string) (p scenario.Played, text string, err error) {
	var printed bytes.Buffer
	cmd := exec.Command(bench, call...)
	cmd.Stdout, cmd.Stderr = &printed, &printed
	ran := cmd.Run()
	if err := os.WriteFile(out, printed.Bytes(), 0o644); err != nil {
		return p, "", err
	}
	id := entryID.FindSubmatch(printed.Bytes())
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
	p, err = scenario.ReadEntry(entry)
	return p, printed.String(), err
}

func dayTable() *cobra.Command {
	return &cobra.Command{Use: "table RESULTS...", Short: "the table of days played before, by site and kind", Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var all []scenario.Played
			for _, path := range args {
				f, err := os.Open(path)
				if err != nil {
					return err
				}
				s := bufio.NewScanner(f)
				s.Buffer(nil, 1<<20)
				for n := 1; s.Scan(); n++ {
					var p scenario.Played
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
			slices.SortStableFunc(all, func(a, b scenario.Played) int { return strings.Compare(a.Site, b.Site) })
			for _, p := range all {
				if p.Broke() || !p.Gate {
					fmt.Println(p)
				}
			}
			scenario.Table(os.Stdout, all)
			return nil
		}}
}
